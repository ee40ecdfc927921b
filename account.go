package gypsum

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/pkg/errors"
)

// AccountName is the name of a client account.
type AccountName string

// Account is a client account. Its requests carry one of the account's API keys.
type Account struct {
	Name AccountName
	// Priority takes precedence over the route's priority, 0 being the highest. It is nil if the
	// account has none.
	Priority *int
}

// MaxAPIKeyBytes is the length of the longest API key that is accepted.
const MaxAPIKeyBytes = 256

// KeyHash is a hash of an API key. Keys themselves are not kept.
type KeyHash [sha256.Size]byte

// keyHashPrefixBytes is the length of the part of a hash that identifies a key in logs.
const keyHashPrefixBytes = 4

// HashAPIKey returns the hash of a key. It returns false for a key that is empty or longer than
// MaxAPIKeyBytes, which belongs to no account.
func HashAPIKey(key string) (KeyHash, bool) {
	if key == "" || len(key) > MaxAPIKeyBytes {
		return KeyHash{}, false
	}
	// The copy stays on the stack, so that the conversion allocates nothing.
	var buffer [MaxAPIKeyBytes]byte
	return sha256.Sum256(buffer[:copy(buffer[:], key)]), true
}

// String returns a prefix of the hash, which identifies the key in logs.
func (h KeyHash) String() string { return hex.EncodeToString(h[:keyHashPrefixBytes]) }

// Errors of lists of accounts.
var (
	// ErrInvalidAPIKey is returned for a key that is empty or too long.
	ErrInvalidAPIKey = errors.New("API key is empty or too long")
	// ErrDuplicateAPIKey is returned for a key that another account has already.
	ErrDuplicateAPIKey = errors.New("API key belongs to another account")
	// ErrNoAPIKey is returned for an account without a valid key.
	ErrNoAPIKey = errors.New("account has no API key")
)

// Accounts are the client accounts of one configuration. They are immutable once the
// configuration is in force.
type Accounts struct {
	byName map[AccountName]*Account
	byKey  map[KeyHash]*Account
}

// NewAccounts returns an empty set of accounts, to which no key belongs.
func NewAccounts() *Accounts {
	return &Accounts{byName: make(map[AccountName]*Account), byKey: make(map[KeyHash]*Account)}
}

// Add adds an account with its keys. The keys of a second account of the same name are added to
// the first one. Invalid keys, and those that another account has already, are left out; the
// errors name them by the prefix of their hash.
func (a *Accounts) Add(account Account, keys []string) []error {
	var problems []error
	added, ok := a.byName[account.Name]
	if !ok {
		added = &account
		a.byName[account.Name] = added
	}
	valid := 0
	for i, key := range keys {
		hash, ok := HashAPIKey(key)
		if !ok {
			problems = append(problems, fmt.Errorf("key %d of account %q with %d bytes: %w", i, account.Name, len(key), ErrInvalidAPIKey))
			continue
		}
		if holder := a.byKey[hash]; holder != nil && holder != added {
			problems = append(problems, fmt.Errorf("key %s of account %q, held by account %q: %w", hash, account.Name, holder.Name, ErrDuplicateAPIKey))
			continue
		}
		a.byKey[hash] = added
		valid++
	}
	if valid == 0 {
		problems = append(problems, fmt.Errorf("account %q: %w", account.Name, ErrNoAPIKey))
	}
	return problems
}

// Len returns the number of accounts.
func (a *Accounts) Len() int { return len(a.byName) }

// Authenticate returns the account that a key belongs to, false if there is none.
func (a *Accounts) Authenticate(key string) (*Account, bool) {
	hash, ok := HashAPIKey(key)
	if !ok {
		return nil, false
	}
	return a.Find(hash)
}

// Find returns the account that the key with a hash belongs to, false if there is none.
func (a *Accounts) Find(hash KeyHash) (*Account, bool) {
	account, ok := a.byKey[hash]
	return account, ok
}

// Named returns the account with a name, false if there is none.
func (a *Accounts) Named(name AccountName) (*Account, bool) {
	account, ok := a.byName[name]
	return account, ok
}
