package dev

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"brooklb/internal/settings"

	"github.com/pelletier/go-toml/v2"
)

// controller is one controller's process.
type controller struct {
	c    *Cluster
	i    int
	set  *settings.Settings
	file string
	cmd  *exec.Cmd
	gone chan struct{} // closed when the process has ended
	gen  int
}

// write makes the settings file, as the platform would.
func (k *controller) write() error {
	b, err := toml.Marshal(k.set)
	if err != nil {
		return fmt.Errorf("settings of %s: %w", k.set.Label, err)
	}
	k.file = filepath.Join(k.c.cfg.Dir, k.set.Label+".toml")
	return os.WriteFile(k.file, b, 0o600)
}

// launch starts the process; when it ends by itself it is started again.
func (k *controller) launch() error {
	log, err := os.OpenFile(filepath.Join(k.c.cfg.Dir, k.set.Label+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close() // the process has its own
	k.gen++
	gen := k.gen
	k.cmd = k.c.cfg.Controller(k.file)
	k.cmd.Stdout, k.cmd.Stderr = log, log
	// If we are killed, it ends, too.
	k.cmd.SysProcAttr = dieWithParent()
	if err := k.cmd.Start(); err != nil {
		return fmt.Errorf("controller %s: %w", k.set.Label, err)
	}
	k.c.world.SetUp(k.i, true)
	gone := make(chan struct{})
	k.gone = gone
	cmd := k.cmd
	go func() {
		err := cmd.Wait()
		close(gone)
		k.c.post(func() {
			k.c.world.SetUp(k.i, false)
			if gen == k.gen && !k.c.over {
				k.c.cfg.Log.Error("a controller has ended by itself", "node", k.set.Label, "err", err)
				k.c.world.At(k.c.world.Now()+2*time.Second, k.again(gen))
			}
		})
	}()
	return nil
}

func (k *controller) again(gen int) func() {
	return func() {
		if gen != k.gen || k.c.over {
			return
		}
		if err := k.launch(); err != nil {
			k.c.cfg.Log.Error("a controller can't be started again", "node", k.set.Label, "err", err)
		}
	}
}

// crash kills the process without a signal that it could hear; it is back after d.
func (k *controller) crash(d time.Duration) {
	k.kill()
	k.c.world.SetUp(k.i, false)
	k.c.world.At(k.c.world.Now()+d, k.again(k.gen))
}

func (k *controller) kill() {
	k.gen++
	if k.cmd == nil || k.cmd.Process == nil {
		return
	}
	select {
	case <-k.gone:
	default:
		_ = k.cmd.Process.Kill()
		<-k.gone
	}
}

// freeze has the process be paused while its clocks run on.
func (k *controller) freeze(d time.Duration) {
	gen, p := k.gen, k.cmd.Process
	if p.Signal(syscall.SIGSTOP) != nil {
		return
	}
	k.c.world.At(k.c.world.Now()+d, func() {
		if gen == k.gen {
			_ = p.Signal(syscall.SIGCONT)
		}
	})
}
