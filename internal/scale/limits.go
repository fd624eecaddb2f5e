package scale

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
)

// Sockets of the stand-ins' process: each worker listens, keeps a connection to its
// controller and accepts one from the leader; the rest are some for each controller.
const (
	socketsPerWorker     = 3
	socketsPerController = 100
	sparePorts           = 1000
)

// checkMachine reports whether this computer has the file descriptors and ports that a run
// needs.
func checkMachine(p *Profile) error {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return fmt.Errorf("the limit of file descriptors: %w", err)
	}
	need := socketsPerWorker*p.Cluster.Workers + socketsPerController*p.Cluster.Controllers
	if uint64(need) > files.Max {
		return fmt.Errorf("%d file descriptors are needed for %d workers, this computer allows a process %d: take a smaller --fraction", need, p.Cluster.Workers, files.Max)
	}
	ports, err := ephemeralPorts()
	if err != nil {
		return err
	}
	if need := p.Cluster.Workers + sparePorts; need > ports {
		return fmt.Errorf("%d ports are needed for connections to one controller, this computer has %d: take a smaller --fraction", need, ports)
	}
	return nil
}

var errPorts = errors.New("the range of local ports can't be read")

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
