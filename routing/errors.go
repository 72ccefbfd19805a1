package routing

import "github.com/ansel1/merry/v2"

// ErrNoServer means that no server can take the request at present.
var ErrNoServer = merry.New("no backend server for the request")
