package fleet

import "github.com/vmihailenco/msgpack/v5"

// decodeLenient reads an array of fields, of which newer programs may send more and older ones fewer: unknown ones are skipped,
// missing ones stay zero. So a fleet can be upgraded front by front. Messages only ever gain fields at their end. The replicated
// state is decoded strictly instead: a front that skipped part of it would pass on less than it received.
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
func (g *Handshake) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeLenient(d, &g.Fleet, &g.Name, &g.Incarnation, &g.Zone, &g.Address, &g.Format, &g.Voter, &g.Dialled, &g.Floor, &g.KnownFloor)
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
func (x *Digest) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeLenient(d, &x.Subsystem, &x.Data)
}

// DecodeMsgpack decodes a MemberReport of this or another version of the program.
func (t *MemberReport) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeLenient(d, &t.Front, &t.Incarnation, &t.Zone, &t.Age, &t.ActiveVersion, &t.WantsConfigLease, &t.Leaving, &t.Index, &t.Data)
}

// DecodeMsgpack decodes a Request of this or another version of the program.
func (q *Request) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeLenient(d, &q.ID, &q.Type, &q.Lease, &q.Term, &q.To, &q.Command, &q.Declarations)
}

// DecodeMsgpack decodes a Declaration of this or another version of the program.
func (x *Declaration) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeLenient(d, &x.Lease, &x.Bound)
}

// DecodeMsgpack decodes a LeaderReply of this or another version of the program.
func (reply *LeaderReply) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeLenient(d, &reply.RenewedSeq, &reply.Renewed, &reply.Release, &reply.Term, &reply.TransferTo, &reply.RequestID,
		&reply.Error, &reply.Displaced, &reply.Reports)
}

// DecodeMsgpack decodes a LogEntry of this or another version of the program.
func (entry *LogEntry) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeLenient(d, &entry.Index, &entry.Data)
}

// DecodeMsgpack decodes a Position of this or another version of the program.
func (m *Position) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeLenient(d, &m.Name, &m.Term, &m.Index, &m.Version)
}

// DecodeMsgpack decodes a ProbeResult of this or another version of the program.
func (result *ProbeResult) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeLenient(d, &result.Server, &result.Healthy, &result.Code, &result.ConnectionLost, &result.Pending, &result.Role)
}
