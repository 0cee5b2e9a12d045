package zookeeper

// Each request below calls done exactly once: with the code of the service, or with ConnectionLoss.

// Get reads the data and the metadata of a node.
func (s *Session) Get(path string, done func(Answer)) {
	s.enqueue(opGetData, encoder{}.bytes([]byte(path)).flag(false), done)
}

// Exists reads the metadata of a node.
func (s *Session) Exists(path string, done func(Answer)) {
	s.enqueue(opExists, encoder{}.bytes([]byte(path)).flag(false), done)
}

// Sync waits until the replica has received all changes that the service had committed when it processed the
// request. Reads after it return no older state.
func (s *Session) Sync(path string, done func(Answer)) {
	s.enqueue(opSync, encoder{}.bytes([]byte(path)), done)
}

// Children lists the names of a node's children.
func (s *Session) Children(path string, done func(Answer)) {
	s.enqueue(opGetChildren, encoder{}.bytes([]byte(path)).flag(false), done)
}

// Create creates a node, and fails with NodeExists if it exists. An ephemeral node is deleted when the
// session ends.
func (s *Session) Create(path string, data []byte, ephemeral bool, done func(Answer)) {
	s.enqueue(opCreate, encodeCreate(path, data, ephemeral), done)
}

// Set replaces the data of a node if the node has the version; -1 matches any version.
func (s *Session) Set(path string, data []byte, version int32, done func(Answer)) {
	s.enqueue(opSetData, encodeSet(path, data, version), done)
}

// Delete deletes a node if the node has the version; -1 matches any version.
func (s *Session) Delete(path string, version int32, done func(Answer)) {
	s.enqueue(opDelete, encoder{}.bytes([]byte(path)).i32(version), done)
}

// Step is an operation of a transaction.
type Step struct {
	op   int32
	body encoder
}

// CreateStep returns a Create as a step of a transaction.
func CreateStep(path string, data []byte, ephemeral bool) Step {
	return Step{opCreate, encodeCreate(path, data, ephemeral)}
}

// SetStep returns a Set as a step of a transaction.
func SetStep(path string, data []byte, version int32) Step {
	return Step{opSetData, encodeSet(path, data, version)}
}

// CheckStep returns a step that fails unless the node has the version.
func CheckStep(path string, version int32) Step {
	return Step{opCheck, encoder{}.bytes([]byte(path)).i32(version)}
}

// Multi executes all steps atomically, or none if one of them fails. The answer has the code of the step that
// failed, or the Stat of the last SetStep.
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
