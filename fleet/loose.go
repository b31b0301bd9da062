package fleet

import "github.com/vmihailenco/msgpack/v5"

// Words between fronts are arrays of fields that only ever grow at their end: what a newer program adds is passed over, what an
// older one does not say stays empty. So a fleet can be brought to another program front by front. What the record keeps is read
// strictly instead: a front that passed over part of it would hand on less than it was given.
func loose(d *msgpack.Decoder, fields ...any) error {
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

// DecodeMsgpack reads a message of this program or of another.
func (m *Message) DecodeMsgpack(d *msgpack.Decoder) error {
	return loose(d, &m.Kind, &m.From, &m.Index, &m.Term, &m.Number, &m.Name, &m.Reason, &m.Data, &m.Hello, &m.There, &m.Lines, &m.Ask, &m.Down, &m.Seen)
}

// DecodeMsgpack reads a greeting of this program or of another; those below do the same for theirs.
func (g *Greeting) DecodeMsgpack(d *msgpack.Decoder) error {
	return loose(d, &g.Fleet, &g.Name, &g.Incarnation, &g.Zone, &g.Address, &g.Format, &g.Keeper, &g.Dialled, &g.Floor, &g.Known)
}

func (p *Presence) DecodeMsgpack(d *msgpack.Decoder) error {
	return loose(d, &p.Name, &p.Incarnation, &p.Seq, &p.Zone, &p.Address, &p.Version, &p.Index, &p.Willing, &p.Leaving, &p.Claims, &p.Acts, &p.Righted,
		&p.Takes, &p.Taking, &p.Digests)
}

func (c *Claim) DecodeMsgpack(d *msgpack.Decoder) error { return loose(d, &c.Duty, &c.Term, &c.Done) }

func (x *Digest) DecodeMsgpack(d *msgpack.Decoder) error { return loose(d, &x.Part, &x.Data) }

func (t *Told) DecodeMsgpack(d *msgpack.Decoder) error {
	return loose(d, &t.Front, &t.Incarnation, &t.Zone, &t.Ago, &t.Acts, &t.Righted, &t.Leaving, &t.Index, &t.Data)
}

func (q *Question) DecodeMsgpack(d *msgpack.Decoder) error {
	return loose(d, &q.ID, &q.What, &q.Duty, &q.Term, &q.To, &q.Command)
}

func (w *Word) DecodeMsgpack(d *msgpack.Decoder) error {
	return loose(d, &w.Kept, &w.Claims, &w.Stop, &w.Term, &w.To, &w.ID, &w.Fault, &w.Gone, &w.Told)
}

func (l *Line) DecodeMsgpack(d *msgpack.Decoder) error { return loose(d, &l.Index, &l.Data) }

func (m *Mark) DecodeMsgpack(d *msgpack.Decoder) error {
	return loose(d, &m.Name, &m.Term, &m.Index, &m.Version)
}

func (l *Look) DecodeMsgpack(d *msgpack.Decoder) error {
	return loose(d, &l.Member, &l.Well, &l.Code, &l.Broke, &l.Open)
}
