package sidecar

import (
	"time"

	"github.com/samber/oops"
	"golang.org/x/sys/unix"

	"corianderwood.example/corianderwood/pkg/quota"
)

// bootTime returns the time since the boot. Unlike the monotonic clock of package time, it goes on
// while the instance is frozen, and unlike the time of day it does not jump.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(oops.Hint("run the node on Linux 2.6.39 or later").Wrapf(err, "the kernel has no CLOCK_BOOTTIME"))
	}
	return time.Duration(t.Nano())
}

// sinceBoot returns the time since the boot by the clock of the deployment.
func (n *Node) sinceBoot() time.Duration {
	if n.deploy.BootTime != nil {
		return n.deploy.BootTime()
	}
	return bootTime()
}

// quotaTime returns bootTime in the type of the limits of accounts.
func quotaTime() quota.Time { return quota.Time(bootTime()) }
