#include "shared_config/log_codec.h"

namespace cairnhub::shared_config {

void to_proto(const Version& v, accord::wire::Version& into) {
  into.set_number(v.number);
  into.set_rules(v.text);
  into.set_hash(v.hash);
  into.set_who(v.who);
  into.set_why(v.why);
  into.set_id(v.id);
  if (!v.note.empty()) into.set_note(v.note);
}

std::optional<Version> from_proto(const accord::wire::Version& v) {
  if (v.number() == 0 || v.rules().size() > kMaxCanonicalTextBytes || content_hash(v.rules()) != v.hash())
    return std::nullopt;
  Version out;
  out.number = v.number();
  out.text = v.rules();
  out.hash = v.hash();
  out.who = v.who();
  out.why = v.why();
  out.id = v.id();
  out.note = v.note();
  try {
    out.rules = std::make_shared<const RuleSet>(parse_accepted_rule_set(v.rules(), "version"));
  } catch (const RuleSetError&) {
    return std::nullopt;
  }
  return out;
}

}  // namespace cairnhub::shared_config
