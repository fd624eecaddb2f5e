package dev

import "syscall"

// dieWithParent returns attributes with which the kernel kills the child when its
// parent thread ends.
func dieWithParent() *syscall.SysProcAttr { return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} }
