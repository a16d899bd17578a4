package deployer

import (
	"fmt"
	"net"
	"os"

	"github.com/rotisserie/eris"
)

const (
	// Ports lie below those that Linux hands out to outgoing connections.
	firstPort = 22000
	lastPort  = 32000
	// portsPerBlock is the number of ports of one deployment; the last one is its lock.
	portsPerBlock = 400
)

// ReservePorts returns the first port of a block that no other deployment on
// this machine uses, and the listener that holds the block.
func ReservePorts() (int, net.Listener, error) {
	const blocks = (lastPort - firstPort) / portsPerBlock
	for i := range blocks {
		base := firstPort + (os.Getpid()+i)%blocks*portsPerBlock
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", base+portsPerBlock-1))
		if err == nil {
			return base, l, nil
		}
	}
	return 0, nil, eris.Errorf("all blocks of ports from %d to %d are in use", firstPort, lastPort)
}
