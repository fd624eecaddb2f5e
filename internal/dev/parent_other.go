//go:build !linux

package dev

import "syscall"

func dieWithParent() *syscall.SysProcAttr { return nil }
