package soak

import (
	"fmt"
	"math"
	"time"
)

// Bounds in the settings of the nodes. The values are those of the deployments with accounts.
const (
	configApply  = 2500 * time.Millisecond
	revoke       = 5 * time.Second
	evacuate     = 5 * time.Second
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
	coldOverage  = 1.5
	coldSlack    = 8
)

const (
	// coldTime is how long a server is cold after its start, coldPerS its requests per second then.
	coldTime = 3 * time.Second
	coldPerS = 6.6
	// scarcePerS and scarceBurst limit the account scarce, whose clients ask for some 15 requests per
	// second of each node.
	scarcePerS  = 4
	scarceBurst = 4
)

// coldLimit and scarceLimit are the requests that a cold server may get in a second and that the
// account scarce may send and have run in a quotaWindow.
var (
	coldLimit   = int(math.Floor(coldPerS*coldOverage + coldSlack))
	scarceLimit = int((scarcePerS*quotaWindow.Seconds()+scarceBurst)*(1+quotaOverage) + quotaSlack)
)

// settingsBounds returns the bounds as they stand in the settings file.
func settingsBounds() string {
	return fmt.Sprintf(`"drain=%s","configApply=%dms","strictRevoke=true","revoke=%s","evacuate=%s","quotaWindow=%s","quotaOverage=%g","quotaSlack=%d","coldOverage=%g","coldSlack=%d"`,
		drainGrace, configApply.Milliseconds(), revoke, evacuate, quotaWindow, quotaOverage, quotaSlack, coldOverage, coldSlack)
}
