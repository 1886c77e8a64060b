// cairnhub: one broker, told what it needs by its environment.
#include "broker/broker.h"

int main() { return cairnhub::broker::run(); }
