//go:build !linux

package dev

import "syscall"

// dieWithParent returns no attributes: other systems than Linux don't offer this.
func dieWithParent() *syscall.SysProcAttr { return nil }
