package zookeeper

// Code is how a request ended: 0, an error of the service's (negative), or ConnectionLoss.
type Code int32

// The codes that callers tell apart.
const (
	OK             Code = 0
	NoNode         Code = codeNoNode
	BadVersion     Code = codeBadVersion
	NodeExists     Code = codeNodeExists
	NotEmpty       Code = codeNotEmpty
	ConnectionLoss Code = 1 // no answer came: it may have been done, or may not
)

// Stat is what of a node's state is used here.
type Stat struct {
	Version        int32
	EphemeralOwner int64 // the session of an ephemeral node, 0 of others
	NumChildren    int32
}

// Answer is the answer to one request.
type Answer struct {
	Code     Code
	Stat     Stat
	Data     []byte
	Children []string
}

// decodeAnswer reads what comes after an answer's header. What is truncated is for the caller to see.
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

// decodeMulti reads the results of a transaction. Of one that failed all results are errors: 0 before the
// step that cannot be done, its code, and codeRuntimeInconsistency after it.
func decodeMulti(d *decoder) (a Answer) {
	for {
		kind, last := d.i32(), d.flag()
		d.i32() // the code, again
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
