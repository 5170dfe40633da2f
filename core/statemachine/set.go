// Package statemachine lets several state machines share one replicated log. It does no I/O.
package statemachine

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/api"
)

// tag is the first byte of an entry of an added machine, and of a snapshot that has the state of one. Entries and snapshots
// of the main machine start with another byte, or are wrapped as those of the machine with the empty name.
const tag = 0x01

// maxNameBytes bounds the name of a machine; its length is encoded in one byte.
const maxNameBytes = 255

// Set is an api.StateMachine that passes each entry to the machine it is for. Entries and snapshots of a Set without added
// machines, or whose added machines are empty, are those of the main machine. It is not safe for concurrent use.
type Set struct {
	// main has the name "".
	main  api.StateMachine
	added map[string]api.StateMachine
	// names holds the names of the added machines in the order of their addition.
	names []string
}

// SetMain sets the main machine.
func (s *Set) SetMain(m api.StateMachine) { s.main = m }

// Add adds a machine. It panics if the name is empty, longer than 255 bytes, or in use.
func (s *Set) Add(name string, m api.StateMachine) {
	if name == "" || len(name) > maxNameBytes || s.added[name] != nil {
		panic(errors.Newf("state machine %q is unnamed, has too long a name, or exists", name))
	}
	if s.added == nil {
		s.added = map[string]api.StateMachine{}
	}
	s.added[name] = m
	s.names = append(s.names, name)
}

// Entry returns data as an entry for the machine with the given name; "" is the main machine.
func Entry(name string, data []byte) []byte {
	if name == "" && (len(data) == 0 || data[0] != tag) {
		return data
	}
	out := make([]byte, 0, 2+len(name)+len(data))
	out = append(out, tag, byte(len(name)))
	out = append(out, name...)
	return append(out, data...)
}

// Apply implements api.StateMachine. The result is an error if the entry is for a machine that is not in the set.
func (s *Set) Apply(index uint64, data []byte) any {
	if len(data) == 0 || data[0] != tag {
		return s.main.Apply(index, data)
	}
	name, rest, ok := cutName(data[1:])
	m := s.machine(name)
	if !ok || m == nil {
		return errors.Newf("entry %d is for the state machine %.40q, which this program lacks", index, name)
	}
	return m.Apply(index, rest)
}

// Snapshot implements api.StateMachine.
func (s *Set) Snapshot() ([]byte, error) {
	main, err := s.main.Snapshot()
	if err != nil {
		return nil, err
	}
	wrap := len(main) > 0 && main[0] == tag
	states := make([][]byte, len(s.names))
	for i, name := range s.names {
		if states[i], err = s.added[name].Snapshot(); err != nil {
			return nil, errors.Wrapf(err, "state machine %q", name)
		}
		wrap = wrap || len(states[i]) > 0
	}
	if !wrap {
		return main, nil
	}
	out := appendState([]byte{tag}, "", main)
	for i, name := range s.names {
		out = appendState(out, name, states[i])
	}
	return out, nil
}

// Restore implements api.StateMachine. A machine that the snapshot does not name is restored from an empty snapshot. If a
// machine refuses its state, others may have been restored already.
func (s *Set) Restore(snapshot []byte) error {
	states := map[string][]byte{"": snapshot}
	if len(snapshot) > 0 && snapshot[0] == tag {
		var err error
		if states, err = cutStates(snapshot[1:]); err != nil {
			return err
		}
	}
	for name := range states {
		if s.machine(name) == nil {
			return errors.Newf("snapshot has the state machine %.40q, which this program lacks", name)
		}
	}
	for _, name := range append([]string{""}, s.names...) {
		if err := s.machine(name).Restore(states[name]); err != nil {
			return errors.Wrapf(err, "state machine %q", name)
		}
	}
	return nil
}

// machine returns the machine with the given name, or nil.
func (s *Set) machine(name string) api.StateMachine {
	if name == "" {
		return s.main
	}
	return s.added[name]
}

func appendState(out []byte, name string, state []byte) []byte {
	out = append(out, byte(len(name)))
	out = append(out, name...)
	out = binary.BigEndian.AppendUint64(out, uint64(len(state)))
	return append(out, state...)
}

// cutName splits data after a name that is preceded by its length.
func cutName(data []byte) (name string, rest []byte, ok bool) {
	if len(data) == 0 || len(data) < 1+int(data[0]) {
		return "", nil, false
	}
	n := 1 + int(data[0])
	return string(data[1:n]), data[n:], true
}

// cutStates returns the states of a snapshot by the names of their machines.
func cutStates(data []byte) (map[string][]byte, error) {
	states := map[string][]byte{}
	for len(data) > 0 {
		name, rest, ok := cutName(data)
		if !ok || len(rest) < 8 || uint64(len(rest)-8) < binary.BigEndian.Uint64(rest) {
			return nil, errors.Newf("snapshot ends within the state of machine %.40q", name)
		}
		n := binary.BigEndian.Uint64(rest)
		if _, dup := states[name]; dup {
			return nil, errors.Newf("snapshot has the state machine %.40q twice", name)
		}
		states[name], data = rest[8:8+n], rest[8+n:]
	}
	return states, nil
}
