package fleetcontroller

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/quota"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
)

// quotaState divides the quotas of tenants among the gateways while this controller leads.
type quotaState struct {
	terms   quota.Terms
	grantor *quota.Grantor
	// limits holds the limits of the document's tenants.
	document *routeconfig.Document
	limits   map[string]quota.Limit
}

func newQuotaState(terms quota.Terms, earlierLeadersEnd time.Duration) *quotaState {
	return &quotaState{terms: terms, grantor: quota.NewGrantor(terms, earlierLeadersEnd)}
}

// limitsOf returns the limits of a document's tenants.
func (q *quotaState) limitsOf(document *routeconfig.Document) quota.Limits {
	if document != q.document && document != nil {
		q.document, q.limits = document, map[string]quota.Limit{}
		for i := range document.Tenants {
			if tenant := &document.Tenants[i]; tenant.Quota.Limited() {
				q.limits[tenant.Name] = q.terms.Limit(tenant.Quota)
			}
		}
	}
	return func(tenant string) (quota.Limit, bool) {
		limit, ok := q.limits[tenant]
		return limit, ok
	}
}

// grantQuota returns the shares of the tenants' quotas for a gateway that reports.
func (c *Controller) grantQuota(node string, report *fleetwire.Report, now time.Duration) *quota.Grant {
	quotas := c.control.quotas
	return quotas.grantor.Grant(node, report.Boot, report.Quota, quotas.limitsOf(c.control.state.Document()), now)
}

// expireQuotaShares ends the shares of gateways that have been silent.
func (c *Controller) expireQuotaShares(now time.Duration) {
	quotas := c.control.quotas
	quotas.grantor.Expire(quotas.limitsOf(c.control.state.Document()), now)
}
