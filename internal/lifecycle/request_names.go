package lifecycle

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"golang.org/x/sys/unix"
)

// requestNamesFile is the file below $TMPDIR through which the processes of an upgrade share the names of
// their requests.
const requestNamesFile = "capersail-requests"

// nameLocks shares names with the other process of an upgrade through locks on single bytes of a file, one
// for each name. The kernel releases the locks of a process that ends. It implements relay.NameClaims.
type nameLocks struct{ file *os.File }

// openNameLocks opens the file in a folder that the processes share.
func openNameLocks(dir string) (*nameLocks, error) {
	file, err := os.OpenFile(filepath.Join(dir, requestNamesFile), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("cannot share requests with the other process of an upgrade: %w", err)
	}
	return &nameLocks{file}, nil
}

// Claim locks the byte of a name. A lock that fails for any other reason than another process's lock does not
// keep the client out.
func (l *nameLocks) Claim(name string) bool {
	err := l.set(name, unix.F_WRLCK)
	return !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EACCES)
}

// Release unlocks the byte of a name.
func (l *nameLocks) Release(name string) { l.set(name, unix.F_UNLCK) }

func (l *nameLocks) set(name string, kind int16) error {
	lock := unix.Flock_t{Type: kind, Start: lockOffset(name), Len: 1}
	return unix.FcntlFlock(l.file.Fd(), unix.F_OFD_SETLK, &lock)
}

// lockOffset returns the offset of a name's byte. Two names share one with a probability of one in 2^62.
func lockOffset(name string) int64 {
	sum := sha256.Sum256([]byte(name))
	return int64(binary.BigEndian.Uint64(sum[:]) >> 2)
}
