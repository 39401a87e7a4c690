package balance

// tier is the distance of an upstream from this node.
type tier uint8

const (
	sameDomain tier = iota
	sameRegion
	otherRegion
	tierCount
)

var tierNames = [tierCount]string{"domain", "region", "other-region"}

func (l Locality) tierOf(e Endpoint) tier {
	switch {
	case e.FailureDomain == l.FailureDomain && e.Region == l.Region:
		return sameDomain
	case e.Region == l.Region:
		return sameRegion
	default:
		return otherRegion
	}
}
