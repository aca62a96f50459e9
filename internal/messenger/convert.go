package messenger

import (
	"net/netip"
	"time"

	"github.com/gentianlever/gentianlever/internal/announcer"
	"github.com/gentianlever/gentianlever/internal/distributor"
	"github.com/gentianlever/gentianlever/internal/messenger/proto"
)

func encodeAddress(a netip.AddrPort) []byte {
	if !a.IsValid() {
		return nil
	}
	// MarshalBinary of netip.AddrPort never returns an error.
	b, _ := a.MarshalBinary()
	return b
}

// decodeAddress returns the zero AddrPort for malformed input; nothing is sent to it.
func decodeAddress(b []byte) netip.AddrPort {
	var a netip.AddrPort
	if len(b) == 0 || a.UnmarshalBinary(b) != nil {
		return netip.AddrPort{}
	}
	return a
}

func encodeMember(m announcer.Member) *proto.Member {
	return &proto.Member{
		Id:               m.ID,
		Service:          m.Service,
		AvailabilityZone: m.AvailabilityZone,
		Region:           m.Region,
		Address:          encodeAddress(m.Address),
		AdminAddress:     encodeAddress(m.AdminAddress),
		Incarnation:      m.Incarnation,
		Started:          m.StartIncarnation,
		State:            uint32(m.State),
		Draining:         m.Draining,
	}
}

// decodeMember maps states unknown to this version to Left.
func decodeMember(m *proto.Member) announcer.Member {
	return announcer.Member{
		ID:               m.GetId(),
		Service:          m.GetService(),
		AvailabilityZone: m.GetAvailabilityZone(),
		Region:           m.GetRegion(),
		Address:          decodeAddress(m.GetAddress()),
		AdminAddress:     decodeAddress(m.GetAdminAddress()),
		Incarnation:      m.GetIncarnation(),
		StartIncarnation: m.GetStarted(),
		State:            announcer.State(min(m.GetState(), uint32(announcer.Left))),
		Draining:         m.GetDraining(),
	}
}

// mapSlice returns the results of applying a function to each element.
func mapSlice[From, To any](from []From, conversion func(From) To) []To {
	to := make([]To, 0, len(from))
	for _, f := range from {
		to = append(to, conversion(f))
	}
	return to
}

func encodeMessage(m announcer.Message, packet uint64) *proto.Datagram {
	return &proto.Datagram{
		Kind:          uint32(m.Kind),
		Packet:        packet,
		Sequence:      m.Sequence,
		Revision:      m.Revision,
		Sender:        encodeMember(m.Sender),
		TargetId:      m.Target.ID,
		TargetAddress: encodeAddress(m.Target.Address),
		Updates:       mapSlice(m.Updates, encodeMember),
		Suspects:      m.CrashSuspects,
	}
}

func decodeMessage(d *proto.Datagram) announcer.Message {
	return announcer.Message{
		Kind:     announcer.Kind(d.GetKind()),
		Sequence: d.GetSequence(),
		Sender:   decodeMember(d.GetSender()),
		Target: announcer.Member{
			ID:      d.GetTargetId(),
			Address: decodeAddress(d.GetTargetAddress()),
		},
		Revision:      d.GetRevision(),
		Updates:       mapSlice(d.GetUpdates(), decodeMember),
		CrashSuspects: d.GetSuspects(),
	}
}

func encodeRecordedResponse(r *RecordedResponse) *proto.RecordedAnswer {
	if r == nil {
		return nil
	}
	return &proto.RecordedAnswer{
		Status: uint32(r.Status),
		Header: mapSlice(r.Header, func(f HeaderField) *proto.HeaderField {
			return &proto.HeaderField{
				Name:  f.Name,
				Value: []byte(f.Value),
			}
		}),
		Body: r.Body,
	}
}

func decodeRecordedResponse(r *proto.RecordedAnswer) *RecordedResponse {
	if r == nil {
		return nil
	}
	return &RecordedResponse{
		Status: int(r.GetStatus()),
		Header: mapSlice(r.GetHeader(), func(f *proto.HeaderField) HeaderField {
			return HeaderField{
				Name:  f.GetName(),
				Value: string(f.GetValue()),
			}
		}),
		Body: r.GetBody(),
	}
}

func encodeChange(c distributor.Change) *proto.Change {
	return &proto.Change{
		Revision:      c.Revision,
		Version:       c.Version,
		Previous:      c.Previous,
		Service:       c.Service,
		EditId:        c.EditID,
		Author:        c.Author,
		TimeUnixNanos: c.Time.UnixNano(),
		Document:      c.Document,
		Withdrawn:     c.Withdrawn,
	}
}

func decodeChange(c *proto.Change) distributor.Change {
	return distributor.Change{
		Revision:  c.GetRevision(),
		Version:   c.GetVersion(),
		Previous:  c.GetPrevious(),
		Service:   c.GetService(),
		EditID:    c.GetEditId(),
		Author:    c.GetAuthor(),
		Time:      time.Unix(0, c.GetTimeUnixNanos()).UTC(),
		Document:  c.GetDocument(),
		Withdrawn: c.GetWithdrawn(),
	}
}
