package dataplane

import (
	"net"
	"strings"
)

func sameNetwork(address, own string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	left, right := strings.Split(host, "."), strings.Split(own, ".")
	return len(left) == 4 && len(right) == 4 && left[0] == right[0] && left[1] == right[1]
}
