package tdmember

import (
	"fmt"
	"net/netip"

	"tarragondeal"
)

// Limits of a record that was received from the network.
const (
	maxNameBytes = 128
	loadScale    = 100 // Loads are sent in hundredths.
	maxLoad      = 100 * loadScale
)

// RecordError reports an invalid field of a received record.
type RecordError struct {
	Node  string
	Field string
}

func (e *RecordError) Error() string {
	return fmt.Sprintf("membership record of %q: invalid %s", e.Node, e.Field)
}

// entry is a node's view of one member.
type entry struct {
	tarragondeal.Member
	seq uint32 // Number of changes within the incarnation.
	// since is when the state was entered, by this node's clock.
	since tarragondeal.Instant
}

func encode(e entry) *Record {
	// netip.AddrPort.MarshalBinary never fails.
	peer, _ := e.Peer.MarshalBinary()
	entryAddr, _ := e.Entry.MarshalBinary()
	return &Record{
		Node: string(e.Node), DataCentre: e.DataCentre, Incarnation: e.Incarnation, State: uint32(e.State),
		Peer: peer, Entry: entryAddr, Seq: e.seq, Config: uint64(e.Config), Load: uint32(e.Load * loadScale),
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
	var peer, entryAddr netip.AddrPort
	if err := peer.UnmarshalBinary(r.GetPeer()); err != nil || !peer.IsValid() {
		return entry{}, &RecordError{Node: name, Field: "peer"}
	}
	if err := entryAddr.UnmarshalBinary(r.GetEntry()); err != nil {
		return entry{}, &RecordError{Node: name, Field: "entry"}
	}
	return entry{
		Member: tarragondeal.Member{
			Node: tarragondeal.NodeID(name), DataCentre: r.GetDataCentre(), Incarnation: r.GetIncarnation(),
			State: tarragondeal.MemberState(r.GetState()), Peer: peer, Entry: entryAddr,
			Config: tarragondeal.Version(r.GetConfig()), Load: float64(r.GetLoad()) / loadScale,
		},
		seq: r.GetSeq(),
	}, nil
}
