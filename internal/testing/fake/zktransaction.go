package fake

// performTransaction executes all operations of a transaction, or none if one fails, and returns their
// results.
func (z *ZooKeeper) performTransaction(c *zkConn, in *zkReader) []byte {
	type part struct {
		op   int
		code int
		body []byte
	}
	var parts []part
	var undos []func()
	failed := false
	for {
		op, last := in.readInt(), in.readBool()
		in.readInt()
		if last {
			break
		}
		done := part{op: op, code: zInconsistent}
		if failed {
			z.skipRequest(op, in)
		} else {
			var undo func()
			done.code, done.body, undo = z.performOperation(c, op, in)
			undos = append(undos, undo)
			failed = done.code != 0
		}
		parts = append(parts, done)
	}
	var out zkWriter
	for _, p := range parts {
		if failed {
			out = out.ints(-1).flag(false).ints(p.code, p.code)
		} else {
			out = out.ints(p.op).flag(false).ints(0).raw(p.body)
		}
	}
	for i := len(undos) - 1; failed && i >= 0; i-- {
		undos[i]()
	}
	return out.ints(-1).flag(true).ints(-1)
}

// skipRequest consumes the fields of an operation that is not executed.
func (z *ZooKeeper) skipRequest(op int, in *zkReader) {
	in.readString()
	switch op {
	case opCreate:
		in.readString()
		in.skipACL()
		in.readInt()
	case opSetData:
		in.readString()
		in.readInt()
	default:
		in.readInt()
	}
}
