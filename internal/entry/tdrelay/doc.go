// Package tdrelay relays a backend server's answer to the caller and checks
// that it is complete.
//
// # Usage
//
// A streamed answer may come in several parts, if an attempt fails and another
// one continues it:
//
//	s := tdrelay.NewStream(w, tdrelay.Options{Progress: progress})
//	end, err := s.Feed(answer.Body, 0)
//	if end != tdrelay.EndComplete {
//		end, err = s.Feed(rerun.Body, s.Events())
//	}
//
// An answer that is not streamed is buffered and delivered once it is known to
// be complete, unless it is too large for the buffer:
//
//	plain, err := tdrelay.ReadPlain(answer)
//	if err == nil {
//		err = plain.Deliver(w, writeTimeout)
//	}
//
// WriteError writes errors in one format for all callers.
package tdrelay
