package forward

import "github.com/silverswitch/silverswitch/internal/memory"

// Limits bound what a router handles at the same time.
type Limits struct {
	MaxRequests int // concurrent requests; more are refused immediately
	// Memory is the account of the requests' memory. A request whose body finds no room is
	// refused. An answer is buffered until it is whole, so that the request can be sent elsewhere
	// if it breaks; one that finds no room is forwarded as it arrives.
	Memory *memory.Account
}
