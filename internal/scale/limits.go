package scale

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
)

// Sockets of the process that runs the stand-ins. Each worker has a listener, a connection to
// its controller and one that it accepts from the leader. The other sockets are counted per
// controller.
const (
	socketsPerWorker     = 3
	socketsPerController = 100
	sparePorts           = 1000
)

// checkHostLimits returns an error if this computer allows fewer file descriptors or ports
// than a run needs.
func checkHostLimits(p *Profile) error {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return fmt.Errorf("reading the limit of file descriptors: %w", err)
	}
	need := socketsPerWorker*p.Cluster.Workers + socketsPerController*p.Cluster.Controllers
	if uint64(need) > files.Max {
		return fmt.Errorf("%d file descriptors are needed for %d workers, but this computer allows only %d per process: take a smaller --fraction", need, p.Cluster.Workers, files.Max)
	}
	ports, err := ephemeralPorts()
	if err != nil {
		return err
	}
	if need := p.Cluster.Workers + sparePorts; need > ports {
		return fmt.Errorf("%d ports are needed for connections to one controller, but this computer has only %d: take a smaller --fraction", need, ports)
	}
	return nil
}

var errPorts = errors.New("the range of local ports can't be read")

// ephemeralPorts returns the number of local ports available for outgoing connections.
func ephemeralPorts() (int, error) {
	b, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		return 0, fmt.Errorf("%w: %w", errPorts, err)
	}
	fields := strings.Fields(string(b))
	if len(fields) != 2 {
		return 0, errPorts
	}
	low, err1 := strconv.Atoi(fields[0])
	high, err2 := strconv.Atoi(fields[1])
	if err1 != nil || err2 != nil {
		return 0, errPorts
	}
	return high - low + 1, nil
}
