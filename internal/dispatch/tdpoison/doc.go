// Package tdpoison finds requests that crash backend servers by what they have in
// common, and refuses them at all nodes.
//
// A request has several traits: its fingerprint, and the parts of its prompt that
// other requests may share. When its connection to a server breaks, the break counts
// against each of its traits. A complete answer to any request with a trait clears
// that trait, since a poisonous one crashes every server. Traits that keep breaking
// connections to one server after the other are refused.
//
// Breaks count only if they follow one another: the request of each must have been
// sent after the break before. Thus the loss of many servers at once, or of a node's
// links, counts once for each trait, however many requests it breaks.
//
// A server that crashes may also send nothing. A request that got no answer counts as a
// break once the run of its server has ended, unless the server said that it leaves or has
// answered anything since.
//
// A refused trait is tried again after a while, by one request in the fleet at a
// time. If that breaks its connection too, the next trial takes place after twice the
// time.
//
// # Usage
//
//	t := tdpoison.New(tdpoison.Deps{...})
//	if v := t.Check(traits); !v.Refused {
//		t.Sent(traits)
//		// Send the request. Then one of:
//		t.Answered(traits)
//		t.Broke(traits, tdpoison.Break{...})
//		t.Silent(traits, tdpoison.Break{...}, ended)
//	}
//
// What is known of the runs of servers is reported with Began, Alive, Ended, Left and
// Returned. Nodes exchange what they record with Writer and Receive. Refused traits are
// kept in the store by Keep, for nodes that start after all others have ended, which Load
// them.
package tdpoison

//go:generate protoc --go_out=. --go_opt=paths=source_relative poison.proto
