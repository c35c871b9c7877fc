// Package tdrelay passes a backend server's answer on to the caller and
// checks that it is whole.
//
// # Usage
//
// A streamed answer may come in several parts, when an attempt breaks and
// another one continues it:
//
//	s := tdrelay.NewStream(w, tdrelay.Options{Progress: progress})
//	end, err := s.Feed(answer.Body, 0)
//	if end != tdrelay.EndWhole {
//		end, err = s.Feed(rerun.Body, s.Events())
//	}
//
// A plain answer is read first and delivered once it is known to be whole,
// unless it is too large to be held:
//
//	whole, err := tdrelay.Read(answer)
//	if err == nil {
//		err = whole.Deliver(w, writeTimeout)
//	}
//
// Errors take one form for all callers, see WriteError.
package tdrelay
