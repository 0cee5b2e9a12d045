package zookeeper

// Each request is answered by a call of done, once: with the service's code, or ConnectionLoss.

// Get reads a node's data.
func (s *Session) Get(path string, done func(Answer)) {
	s.enqueue(opGetData, encoder{}.bytes([]byte(path)).flag(false), done)
}

// Exists reads a node's state.
func (s *Session) Exists(path string, done func(Answer)) {
	s.enqueue(opExists, encoder{}.bytes([]byte(path)).flag(false), done)
}

// Sync makes what is read after it no older than the moment at which the service takes it.
func (s *Session) Sync(path string, done func(Answer)) {
	s.enqueue(opSync, encoder{}.bytes([]byte(path)), done)
}

// Children lists a node's children.
func (s *Session) Children(path string, done func(Answer)) {
	s.enqueue(opGetChildren, encoder{}.bytes([]byte(path)).flag(false), done)
}

// Create makes a node: exclusively, as every create is. An ephemeral one goes with the session.
func (s *Session) Create(path string, data []byte, ephemeral bool, done func(Answer)) {
	s.enqueue(opCreate, encodeCreate(path, data, ephemeral), done)
}

// Set writes a node's data if it has the version; -1 is any.
func (s *Session) Set(path string, data []byte, version int32, done func(Answer)) {
	s.enqueue(opSetData, encodeSet(path, data, version), done)
}

// Delete removes a node if it has the version; -1 is any.
func (s *Session) Delete(path string, version int32, done func(Answer)) {
	s.enqueue(opDelete, encoder{}.bytes([]byte(path)).i32(version), done)
}

// Step is one part of a transaction.
type Step struct {
	op   int32
	body encoder
}

// CreateStep is Create in a transaction.
func CreateStep(path string, data []byte, ephemeral bool) Step {
	return Step{opCreate, encodeCreate(path, data, ephemeral)}
}

// SetStep is Set in a transaction.
func SetStep(path string, data []byte, version int32) Step {
	return Step{opSetData, encodeSet(path, data, version)}
}

// CheckStep fails a transaction unless the node has the version.
func CheckStep(path string, version int32) Step {
	return Step{opCheck, encoder{}.bytes([]byte(path)).i32(version)}
}

// Multi does all steps or none. The answer's code is that of the first step that cannot be done, its Stat
// that of the last SetStep.
func (s *Session) Multi(steps []Step, done func(Answer)) {
	body := encoder{}
	for _, step := range steps {
		body = append(body.i32(step.op).flag(false).i32(-1), step.body...)
	}
	s.enqueue(opMulti, body.i32(opMultiError).flag(true).i32(-1), done)
}

func encodeCreate(path string, data []byte, ephemeral bool) encoder {
	const (
		aclEntries     = 1
		allPermissions = 31
		persistentFlag = 0
		ephemeralFlag  = 1
	)
	b := encoder{}.bytes([]byte(path)).bytes(data)
	b = b.i32(aclEntries).i32(allPermissions).bytes([]byte("world")).bytes([]byte("anyone"))
	if ephemeral {
		return b.i32(ephemeralFlag)
	}
	return b.i32(persistentFlag)
}

func encodeSet(path string, data []byte, version int32) encoder {
	return encoder{}.bytes([]byte(path)).bytes(data).i32(version)
}
