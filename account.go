package gypsum

// AccountName is the name of a client account.
type AccountName string

// Account is a client account. Its requests carry one of the account's API keys.
type Account struct {
	Name AccountName
	// Priority takes precedence over the route's priority, 0 being the highest. It is nil if the
	// account has none.
	Priority *int
}
