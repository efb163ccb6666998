package account

import (
	"crypto/subtle"

	"turmericgap/job"
)

// Directory finds client accounts by API key and by name. It does not change, so any number of goroutines may use it.
type Directory struct {
	accounts []job.Account
	byKey    map[job.KeyDigest]int32
	byName   map[string]int32
}

// NewDirectory returns a Directory of the accounts. A key or name that occurs twice belongs to the first account.
func NewDirectory(accounts []job.Account) *Directory {
	d := &Directory{
		accounts: accounts, byKey: make(map[job.KeyDigest]int32, 2*len(accounts)), byName: make(map[string]int32, len(accounts)),
	}
	for i := range accounts {
		a := &accounts[i]
		if _, used := d.byName[a.Name]; !used {
			d.byName[a.Name] = int32(i)
		}
		for _, k := range a.Keys {
			if _, used := d.byKey[k]; !used {
				d.byKey[k] = int32(i)
			}
		}
	}
	return d
}

// ByKey returns the account of an API key, or nil. The map is searched by digest, which reveals nothing about keys, and
// the digests are compared in constant time.
func (d *Directory) ByKey(key string) *job.Account {
	digest := job.DigestKey(key)
	i, known := d.byKey[digest]
	if !known {
		return nil
	}
	a := &d.accounts[i]
	for k := range a.Keys {
		if subtle.ConstantTimeCompare(a.Keys[k][:], digest[:]) == 1 {
			return a
		}
	}
	return nil
}

// ByName returns the account with this name, or nil.
func (d *Directory) ByName(name string) *job.Account {
	i, known := d.byName[name]
	if !known {
		return nil
	}
	return &d.accounts[i]
}

// Len returns the number of accounts.
func (d *Directory) Len() int { return len(d.accounts) }
