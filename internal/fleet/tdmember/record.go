package tdmember

import (
	"fmt"
	"net/netip"

	"tarragondeal"
)

// Bounds of a record that comes from the network.
const (
	maxNameBytes = 128
	loadScale    = 100 // Loads travel in hundredths.
	maxLoad      = 100 * loadScale
)

// RecordError is a record that can't be taken in.
type RecordError struct {
	Node  string
	Field string
}

func (e *RecordError) Error() string {
	return fmt.Sprintf("membership record of %q: wrong %s", e.Node, e.Field)
}

// entry is what one node believes of another.
type entry struct {
	tarragondeal.Member
	seq uint32
	// since is when the state was taken on, by this node's clock.
	since tarragondeal.Instant
}

func encode(e entry) *Record {
	// MarshalBinary of an address never fails.
	peer, _ := e.Peer.MarshalBinary()
	front, _ := e.Entry.MarshalBinary()
	return &Record{
		Node: string(e.Node), DataCentre: e.DataCentre, Incarnation: e.Incarnation, State: uint32(e.State),
		Peer: peer, Entry: front, Seq: e.seq, Config: uint64(e.Config), Load: uint32(e.Load * loadScale),
	}
}

func decode(r *Record) (entry, error) {
	name := r.GetNode()
	if name == "" || len(name) > maxNameBytes {
		return entry{}, &RecordError{Node: fmt.Sprintf("%.40s", name), Field: "node"}
	}
	if r.GetDataCentre() == "" || len(r.GetDataCentre()) > maxNameBytes {
		return entry{}, &RecordError{Node: name, Field: "dataCentre"}
	}
	if r.GetState() > uint32(tarragondeal.MemberDead) {
		return entry{}, &RecordError{Node: name, Field: "state"}
	}
	if r.GetLoad() > maxLoad {
		return entry{}, &RecordError{Node: name, Field: "load"}
	}
	var peer, front netip.AddrPort
	if err := peer.UnmarshalBinary(r.GetPeer()); err != nil || !peer.IsValid() {
		return entry{}, &RecordError{Node: name, Field: "peer"}
	}
	if err := front.UnmarshalBinary(r.GetEntry()); err != nil {
		return entry{}, &RecordError{Node: name, Field: "entry"}
	}
	return entry{
		Member: tarragondeal.Member{
			Node: tarragondeal.NodeID(name), DataCentre: r.GetDataCentre(), Incarnation: r.GetIncarnation(),
			State: tarragondeal.MemberState(r.GetState()), Peer: peer, Entry: front,
			Config: tarragondeal.Version(r.GetConfig()), Load: float64(r.GetLoad()) / loadScale,
		},
		seq: r.GetSeq(),
	}, nil
}
