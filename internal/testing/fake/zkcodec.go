package fake

import "encoding/binary"

func u32(b []byte, x int) []byte    { return binary.BigEndian.AppendUint32(b, uint32(int32(x))) }
func u64(b []byte, x int64) []byte  { return binary.BigEndian.AppendUint64(b, uint64(x)) }
func str(b []byte, s string) []byte { return append(u32(b, len(s)), s...) }

// zin reads a request's fields.
type zin struct{ p []byte }

func (r *zin) i32() int {
	x := int(int32(binary.BigEndian.Uint32(r.p)))
	r.p = r.p[4:]
	return x
}

func (r *zin) str() string {
	n := max(0, r.i32())
	s := string(r.p[:n])
	r.p = r.p[n:]
	return s
}

func (r *zin) flag() bool {
	x := r.p[0] == 1
	r.p = r.p[1:]
	return x
}

// skipACL reads the list of rights that comes with a node.
func (r *zin) skipACL() {
	for n := r.i32(); n > 0; n-- {
		r.i32()
		r.str()
		r.str()
	}
}

func (n *znode) stat(b []byte) []byte {
	b = append(b, make([]byte, 32)...)
	b = u64(u32(u32(u32(b, n.version), 0), 0), n.owner)
	return u64(u32(u32(b, len(n.data)), 0), 0)
}
