package zookeeper

// Code is the result of a request: OK, an error code of ZooKeeper (negative), or ConnectionLoss.
type Code int32

// The codes that callers distinguish.
const (
	OK             Code = 0
	NoNode         Code = codeNoNode
	BadVersion     Code = codeBadVersion
	NodeExists     Code = codeNodeExists
	NotEmpty       Code = codeNotEmpty
	ConnectionLoss Code = 1 // no answer was received: the request may or may not have been executed
)

// Stat is the part of a node's metadata that is used here.
type Stat struct {
	Version        int32
	EphemeralOwner int64 // session of an ephemeral node, 0 for other nodes
	NumChildren    int32
}

// Answer is the answer to a request.
type Answer struct {
	Code     Code
	Stat     Stat
	Data     []byte
	Children []string
}

// decodeAnswer decodes the body of an answer to an operation. The caller must check d.truncated.
func decodeAnswer(op int32, code Code, d *decoder) Answer {
	a := Answer{Code: code}
	if code != OK {
		return a
	}
	switch op {
	case opGetData:
		a.Data = append([]byte(nil), d.bytes()...)
		a.Stat = decodeStat(d)
	case opExists, opSetData:
		a.Stat = decodeStat(d)
	case opGetChildren:
		for i := d.i32(); i > 0 && !d.truncated; i-- {
			a.Children = append(a.Children, string(d.bytes()))
		}
	case opMulti:
		a = decodeMulti(d)
	}
	return a
}

// decodeMulti decodes the results of a transaction. If it failed, all results are errors: OK for the steps
// before the one that failed, the code of that step, and codeRuntimeInconsistency for the steps after it.
func decodeMulti(d *decoder) (a Answer) {
	for {
		kind, last := d.i32(), d.flag()
		d.i32() // the error code, which the body of an error repeats
		switch {
		case d.truncated || last:
			return a
		case kind == opMultiError:
			if code := Code(d.i32()); code != OK && code != codeRuntimeInconsistency && a.Code == OK {
				a.Code = code
			}
		case kind == opCreate:
			d.bytes()
		case kind == opSetData:
			a.Stat = decodeStat(d)
		}
	}
}

func decodeStat(d *decoder) (s Stat) {
	d.skip(32) // czxid, mzxid, ctime, mtime
	s.Version = d.i32()
	d.skip(8) // cversion, aversion
	s.EphemeralOwner = d.i64()
	d.skip(4) // data length
	s.NumChildren = d.i32()
	d.skip(8) // pzxid
	return s
}
