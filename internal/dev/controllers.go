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

// controller manages the process of one controller.
type controller struct {
	cluster      *Cluster
	index        int
	settings     *settings.Settings
	settingsFile string
	cmd          *exec.Cmd
	exited       chan struct{} // closed when the process has exited
	generation   int           // increases with each start and kill
}

// writeSettings writes the settings file that the platform provides in production.
func (k *controller) writeSettings() error {
	b, err := toml.Marshal(k.settings)
	if err != nil {
		return fmt.Errorf("settings of %s: %w", k.settings.Label, err)
	}
	k.settingsFile = filepath.Join(k.cluster.cfg.Dir, k.settings.Label+".toml")
	return os.WriteFile(k.settingsFile, b, 0o600)
}

// start starts the process. If the process exits unexpectedly, it is restarted after 2 s.
func (k *controller) start() error {
	log, err := os.OpenFile(filepath.Join(k.cluster.cfg.Dir, k.settings.Label+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close() // the process has its own descriptor
	k.generation++
	generation := k.generation
	k.cmd = k.cluster.cfg.ControllerCommand(k.settingsFile)
	k.cmd.Stdout, k.cmd.Stderr = log, log
	// The controller must not outlive this process.
	k.cmd.SysProcAttr = dieWithParent()
	if err := k.cmd.Start(); err != nil {
		return fmt.Errorf("controller %s: %w", k.settings.Label, err)
	}
	k.cluster.world.SetNodeUp(k.index, true)
	exited := make(chan struct{})
	k.exited = exited
	cmd := k.cmd
	go func() {
		err := cmd.Wait()
		close(exited)
		k.cluster.post(func() {
			k.cluster.world.SetNodeUp(k.index, false)
			if generation == k.generation && !k.cluster.ended {
				k.cluster.cfg.Log.Error("controller exited unexpectedly", "node", k.settings.Label, "err", err)
				k.cluster.world.At(k.cluster.world.Now()+2*time.Second, k.restart(generation))
			}
		})
	}()
	return nil
}

// restart returns a function that starts the process, unless it was started or killed
// since the given generation or the cluster has ended.
func (k *controller) restart(generation int) func() {
	return func() {
		if generation != k.generation || k.cluster.ended {
			return
		}
		if err := k.start(); err != nil {
			k.cluster.cfg.Log.Error("controller can't be restarted", "node", k.settings.Label, "err", err)
		}
	}
}

// crash kills the process without a chance to clean up and restarts it after d.
func (k *controller) crash(d time.Duration) {
	k.kill()
	k.cluster.world.SetNodeUp(k.index, false)
	k.cluster.world.At(k.cluster.world.Now()+d, k.restart(k.generation))
}

func (k *controller) kill() {
	k.generation++
	if k.cmd == nil || k.cmd.Process == nil {
		return
	}
	select {
	case <-k.exited:
	default:
		_ = k.cmd.Process.Kill()
		<-k.exited
	}
}

// freeze stops the process for d, during which its clocks keep running.
func (k *controller) freeze(d time.Duration) {
	generation, p := k.generation, k.cmd.Process
	if p.Signal(syscall.SIGSTOP) != nil {
		return
	}
	k.cluster.world.At(k.cluster.world.Now()+d, func() {
		if generation == k.generation {
			_ = p.Signal(syscall.SIGCONT)
		}
	})
}
