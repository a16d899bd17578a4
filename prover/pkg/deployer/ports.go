package deployer

import (
	"fmt"
	"net"
	"os"

	"github.com/rotisserie/eris"
)

const (
	// The ports lie below the range that Linux gives to outgoing connections.
	firstPort = 22000
	lastPort  = 32000
	// portsPerBlock is the number of ports of one deployment. The listener that
	// reserves the block uses the last one.
	portsPerBlock = 400
)

// ReservePorts reserves a block of ports that no other deployment on this
// machine uses. It returns the first port and a listener that keeps the block
// reserved until it is closed.
func ReservePorts() (int, net.Listener, error) {
	const blocks = (lastPort - firstPort) / portsPerBlock
	for i := range blocks {
		base := firstPort + (os.Getpid()+i)%blocks*portsPerBlock
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", base+portsPerBlock-1))
		if err == nil {
			return base, l, nil
		}
	}
	return 0, nil, eris.Errorf("reserve ports: all blocks from %d to %d are in use", firstPort, lastPort)
}
