package admission

import "monsoonlever/fleet"

// table is the immutable snapshot that the path of a request reads.
type table struct {
	services map[fleet.Service]*service
	accounts map[fleet.Account]*account
	// serviceList and accountList hold the same in a fixed order.
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
