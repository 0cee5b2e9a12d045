package fake

// multi does all parts or none.
func (z *ZooKeeper) multi(c *zkConn, in *zin) []byte {
	type part struct {
		op   int
		code int
		body []byte
	}
	var parts []part
	var undos []func()
	failed := false
	for {
		op, last := in.i32(), in.flag()
		in.i32()
		if last {
			break
		}
		done := part{op: op, code: zInconsistent}
		if failed {
			z.skip(op, in)
		} else {
			var undo func()
			done.code, done.body, undo = z.step(c, op, in)
			undos = append(undos, undo)
			failed = done.code != 0
		}
		parts = append(parts, done)
	}
	var out []byte
	for _, p := range parts {
		if failed {
			out = u32(u32(append(u32(out, -1), 0), p.code), p.code)
		} else {
			out = append(u32(append(u32(out, p.op), 0), 0), p.body...)
		}
	}
	for i := len(undos) - 1; failed && i >= 0; i-- {
		undos[i]()
	}
	return u32(append(u32(out, -1), 1), -1)
}

// skip reads a part that is not done.
func (z *ZooKeeper) skip(op int, in *zin) {
	in.str()
	switch op {
	case opCreate:
		in.str()
		in.skipACL()
		in.i32()
	case opSetData:
		in.str()
		in.i32()
	default:
		in.i32()
	}
}
