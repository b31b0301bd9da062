package fleet

import "github.com/vmihailenco/msgpack/v5"

// decodeLenient decodes an array into fields. It skips elements beyond the known fields, which newer programs send, and leaves fields
// unchanged that older programs don't send. So a fleet can be upgraded front by front, as long as messages gain fields only at their
// end. The replicated state is decoded strictly instead: a front that skipped a part of it would forward less than it received.
func decodeLenient(d *msgpack.Decoder, fields ...any) error {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	for i := 0; i < n; i++ {
		if i < len(fields) {
			err = d.Decode(fields[i])
		} else {
			err = d.Skip()
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// DecodeMsgpack decodes a Message of this or another version of the program.
func (m *Message) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeLenient(d, &m.Kind, &m.From, &m.Index, &m.Term, &m.Number, &m.Name, &m.Reason, &m.Data,
		&m.Hello, &m.Members, &m.Entries, &m.Request, &m.Reply, &m.Positions)
}

// DecodeMsgpack decodes a Handshake of this or another version of the program.
func (h *Handshake) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeLenient(d, &h.Fleet, &h.Name, &h.Incarnation, &h.Zone, &h.Address, &h.Format, &h.Voter, &h.Dialled, &h.Floor, &h.KnownFloor)
}

// DecodeMsgpack decodes a MembershipRecord of this or another version of the program.
func (report *MembershipRecord) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeLenient(d, &report.Name, &report.Incarnation, &report.Seq, &report.Zone, &report.Address, &report.Version,
		&report.Index, &report.AcceptsLeases, &report.Leaving, &report.Renewals,
		&report.ActiveVersion, &report.WantsConfigLease,
		&report.PendingVersion, &report.HasPending, &report.Digests)
}

// DecodeMsgpack decodes a LeaseRenewal of this or another version of the program.
func (renewal *LeaseRenewal) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeLenient(d, &renewal.Lease, &renewal.Term, &renewal.Progress)
}

// DecodeMsgpack decodes a Digest of this or another version of the program.
func (digest *Digest) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeLenient(d, &digest.Subsystem, &digest.Data)
}

// DecodeMsgpack decodes a MemberReport of this or another version of the program.
func (r *MemberReport) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeLenient(d, &r.Front, &r.Incarnation, &r.Zone, &r.Age, &r.ActiveVersion, &r.WantsConfigLease, &r.Leaving, &r.Index, &r.Data)
}

// DecodeMsgpack decodes a Request of this or another version of the program.
func (q *Request) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeLenient(d, &q.ID, &q.Type, &q.Lease, &q.Term, &q.To, &q.Command, &q.Declarations)
}

// DecodeMsgpack decodes a Declaration of this or another version of the program.
func (declaration *Declaration) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeLenient(d, &declaration.Lease, &declaration.Bound)
}

// DecodeMsgpack decodes a LeaderReply of this or another version of the program.
func (reply *LeaderReply) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeLenient(d, &reply.RenewedSeq, &reply.Renewed, &reply.Release, &reply.Term, &reply.TransferTo, &reply.RequestID,
		&reply.Error, &reply.DisplacedIncarnation, &reply.Reports)
}

// DecodeMsgpack decodes a LogEntry of this or another version of the program.
func (entry *LogEntry) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeLenient(d, &entry.Index, &entry.Data)
}

// DecodeMsgpack decodes a Position of this or another version of the program.
func (p *Position) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeLenient(d, &p.Name, &p.Term, &p.Index, &p.Version)
}

// DecodeMsgpack decodes a ProbeResult of this or another version of the program.
func (result *ProbeResult) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeLenient(d, &result.Server, &result.Healthy, &result.Code, &result.ConnectionLost, &result.Pending, &result.Role)
}
