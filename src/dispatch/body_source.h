// Produces the body of a response in pieces, so that a body larger than the memory can be written.
#pragma once
#include <string>

namespace cairnhub::dispatch {

// Implemented by frontends; pulled by the responder as its client reads.
class BodySource {
 public:
  virtual ~BodySource() = default;
  enum class State {
    kPiece,     // `piece` holds the next piece
    kWaiting,   // no piece is ready; the source calls Responder::resume() once one is
    kComplete,  // there are no more pieces
  };
  // Moves the next piece into `piece`. Must not call the responder.
  virtual State next_piece(std::string& piece) = 0;
  // Called when all pieces taken so far have been written, so that their memory is free. May call
  // Responder::resume().
  virtual void on_written() = 0;
};

}  // namespace cairnhub::dispatch
