package member

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"turmericgap/store"
)

// Prefixes of the keys in the store.
const (
	CellPrefix     = "turmericgap/cell/"
	TablePrefix    = CellPrefix + "table/"
	PresencePrefix = CellPrefix + "member/"
	journalPrefix  = "/turmericgap/journal/"
)

// Roles of members.
const (
	RoleScheduler = "scheduler"
	RoleGate      = "gate"
)

// MaxMembers bounds a table, so that it stays far below the largest value that the store accepts.
const MaxMembers = 256

// State is the lifecycle state of a member.
type State string

// Values of State.
const (
	// Joining means that some peers have not yet confirmed a table that holds the member.
	Joining State = "joining"
	Ready   State = "ready"
	// Leaving means that the member has begun a planned stop.
	Leaving State = "leaving"
	Gone    State = "gone"
)

// Member is one process in the table of its zone and role.
type Member struct {
	ID   string `json:"id"`
	Role string `json:"role"`
	Zone string `json:"zone"`
	// Address is the IP address and port on which the process serves rpc.
	Address string `json:"address"`
	// Incarnation distinguishes a process from earlier ones with the same ID.
	Incarnation int64  `json:"incarnation"`
	State       State  `json:"state"`
	VM          string `json:"vm"`
}

func (m Member) sameProcess(o Member) bool { return m.ID == o.ID && m.Incarnation == o.Incarnation }

// Table is the agreed membership of one zone and role.
type Table struct {
	Zone string `json:"zone"`
	Role string `json:"role"`
	// Version is the store revision of the last change; it never decreases.
	Version int64 `json:"-"`
	// Epoch increases with each new owner.
	Epoch int64 `json:"epoch"`
	// EpochRevision is the revision at which the owner's epoch was written to the journal's epoch key.
	EpochRevision int64    `json:"epochRevision"`
	Owner         string   `json:"owner"`
	Members       []Member `json:"members"`
}

// Find returns the member with the given ID.
func (t *Table) Find(id string) (Member, bool) {
	if i := t.index(id); i >= 0 {
		return t.Members[i], true
	}
	return Member{}, false
}

func (t *Table) index(id string) int {
	return slices.IndexFunc(t.Members, func(m Member) bool { return m.ID == id })
}

func (t *Table) contains(m Member) bool {
	found, ok := t.Find(m.ID)
	return ok && found.sameProcess(m)
}

func (t Table) clone() Table {
	t.Members = slices.Clone(t.Members)
	return t
}

// upsert adds a member, or replaces the one with the same ID.
func (t *Table) upsert(m Member) {
	if i := t.index(m.ID); i >= 0 {
		t.Members[i] = m
		return
	}
	t.Members = append(t.Members, m)
	slices.SortFunc(t.Members, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
}

// remove removes a member, and its ownership of the zone if it has it.
func (t *Table) remove(id string) {
	t.Members = slices.DeleteFunc(t.Members, func(m Member) bool { return m.ID == id })
	if t.Owner == id {
		t.Owner = ""
	}
}

// setOwner makes a member the owner under a new epoch, whose revision will be that of this change.
func (t *Table) setOwner(id string) {
	t.Owner = id
	t.Epoch++
	t.EpochRevision = 0
}

// TableKey returns the store key of a table.
func TableKey(zone, role string) string { return TablePrefix + zone + "/" + role }

// EpochKey returns the store key of a zone's epoch, which the journal's commits compare.
func EpochKey(zone string) string { return journalPrefix + zone + "/epoch" }

// PresenceKey returns the store key that is bound to a member's lease.
func PresenceKey(zone, role, id string) string { return presencePrefix(zone, role) + id }

func presencePrefix(zone, role string) string { return PresencePrefix + zone + "/" + role + "/" }

// DecodeTable decodes a table from its key-value pair in the store.
func DecodeTable(p store.Pair) (Table, error) {
	var t Table
	if err := json.Unmarshal(p.Value, &t); err != nil {
		return t, eris.Wrap(err, "decode member table")
	}
	t.Version = p.ModRevision
	if t.EpochRevision == 0 && t.Epoch > 0 {
		t.EpochRevision = p.ModRevision
	}
	return t, nil
}

// DecodePresence decodes a member from its presence key.
func DecodePresence(p store.Pair) (Member, error) {
	var m Member
	if err := json.Unmarshal(p.Value, &m); err != nil {
		return m, eris.Wrap(err, "decode member key")
	}
	return m, nil
}

// encode marshals the plain structs of this package, which cannot fail.
func encode(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return raw
}
