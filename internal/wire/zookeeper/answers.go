package zookeeper

// Code is how a request ended: 0, an error of the service's (negative), or Lost.
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
	Version  int32
	Owner    int64 // the session of an ephemeral node, 0 of others
	Children int32
}

// Answer is the answer to one request.
type Answer struct {
	Code     Code
	Stat     Stat
	Data     []byte
	Children []string
}

// decodeAnswer reads what comes after an decodeAnswer's header.
func decodeAnswer(op int32, code Code, r *decoder) Answer {
	a := Answer{Code: code}
	if code != OK {
		return a
	}
	switch op {
	case opGetData:
		a.Data = append([]byte(nil), r.bytes()...)
		a.Stat = decodeStat(r)
	case opExists, opSetData:
		a.Stat = decodeStat(r)
	case opGetChildren:
		for i := r.i32(); i > 0 && !r.truncated; i-- {
			a.Children = append(a.Children, string(r.bytes()))
		}
	case opMulti:
		a = decodeMulti(r)
	}
	return a
}

// decodeMulti reads the results of a transaction. Of one that failed all results are errors: 0 before the step that
// cannot be done, its code, and errUndone after it.
func decodeMulti(r *decoder) (a Answer) {
	for {
		kind, last := r.i32(), r.take(1)[0] == 1
		r.i32()
		switch {
		case r.truncated || last:
			return a
		case kind == -1:
			if code := Code(r.i32()); code != OK && code != codeRuntimeInconsistency && a.Code == OK {
				a.Code = code
			}
		case kind == opCreate:
			r.bytes()
		case kind == opSetData:
			a.Stat = decodeStat(r)
		}
	}
}

func decodeStat(r *decoder) (s Stat) {
	r.take(32)
	s.Version = r.i32()
	r.take(8)
	s.Owner = r.i64()
	r.i32()
	s.Children = r.i32()
	r.take(8)
	return s
}
