package admission

import "monsoonlever/fleet"

// table is an immutable snapshot of the configured services and accounts. Requests read it without
// a lock.
type table struct {
	services map[fleet.Service]*service
	accounts map[fleet.Account]*account
	// serviceList and accountList hold the same entries in the order of the configuration.
	serviceList []*service
	accountList []*account
}

func (t *table) addService(s *service) {
	t.services[s.name] = s
	t.serviceList = append(t.serviceList, s)
}

func (t *table) addAccount(a *account) {
	t.accounts[a.name] = a
	t.accountList = append(t.accountList, a)
}
