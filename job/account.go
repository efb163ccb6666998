package job

import (
	"crypto/sha256"

	"turmericgap/finding"
)

// KeyDigest is the SHA-256 digest of an API key. Only digests are kept in memory, so that no dump or log shows a key.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// String hides the digest from logs and error messages.
func (KeyDigest) String() string { return "(key)" }

// MarshalJSON hides the digest from JSON dumps.
func (KeyDigest) MarshalJSON() ([]byte, error) { return []byte(`"(key)"`), nil }

// Account is the operators' configuration of a client account.
type Account struct {
	Name string
	// Keys holds the digests of its API keys; any of them is valid.
	Keys []KeyDigest
	// Priority is passed on from the operators; scheduling does not use it.
	Priority int
	// Weight is its share of a full cell relative to other accounts, and the number of submissions per second up to
	// which it has a claim to be served.
	Weight float64
	// Cap limits what its tasks may use at the same time on all workers. A resource that is zero is not limited.
	Cap Resources
}

// CheckAccounts returns the findings of a list of accounts.
func CheckAccounts(accounts []Account) finding.List {
	var l finding.List
	names := make(map[string]bool, len(accounts))
	ownerOf := make(map[KeyDigest]string)
	for i := range accounts {
		a := &accounts[i]
		var part finding.List
		if a.Name == "" {
			part.Add("name", "must not be empty")
		}
		if names[a.Name] {
			part.Add("name", "%q is used by another account", a.Name)
		}
		names[a.Name] = true
		if a.Weight < 0 {
			part.Add("weight", "must not be negative")
		}
		if a.Cap.Millicores < 0 || a.Cap.MemoryMB < 0 || a.Cap.Accelerators < 0 {
			part.Add("cap", "must not be negative")
		}
		for _, k := range a.Keys {
			if other, used := ownerOf[k]; used && other != a.Name {
				part.Add("keys", "one of them is also a key of account %q", other)
			}
			ownerOf[k] = a.Name
		}
		l.AddUnder("accounts["+a.Name+"]", part)
	}
	return l
}
