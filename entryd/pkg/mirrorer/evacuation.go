package mirrorer

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"plantaincleat/tier/gen/config"
)

// keepOrders returns the orders to evacuate data centres that are in force with a
// translation: those of the store, and those of an earlier era that it lacks. A store that
// has returned from a copy may lack an order that was never taken back. Such an order stays
// until the operators write a later version of their configuration, or write the order and
// take it back in the present era.
func (m *Mirror) keepOrders(t Translation) []*config.Evacuation {
	orders := slices.Clone(t.Config.GetPolicy().GetEvacuations())
	latest := m.latest()
	if t.Version > latest.GetHead().GetVersion() {
		return orders
	}
	for _, o := range latest.GetConfig().GetPolicy().GetEvacuations() {
		if sameEra(o.GetRevision(), m.revision) || slices.ContainsFunc(orders, func(other *config.Evacuation) bool { return other.GetDatacentre() == o.GetDatacentre() }) {
			continue
		}
		if m.keptOrder != o.GetRevision() {
			m.keptOrder = o.GetRevision()
			klog.InfoS("the store has returned from a copy without an order to evacuate a data centre; the order stays in force", "datacentre", o.GetDatacentre(), "order", o.GetRevision(), "revision", m.revision)
		}
		orders = append(orders, o)
	}
	slices.SortFunc(orders, func(a, b *config.Evacuation) int { return cmp.Compare(a.GetDatacentre(), b.GetDatacentre()) })
	return orders
}

// latest returns the configuration with the highest revision that the daemon knows.
func (m *Mirror) latest() *config.Accepted {
	if m.InForce == nil {
		return m.accepted
	}
	if a := m.InForce(); a.GetHead().GetRevision() > m.accepted.GetHead().GetRevision() {
		return a
	}
	return m.accepted
}

// setOrders sets the orders of a translation, which may share its policy with a
// configuration in force.
func setOrders(cfg *config.Config, orders []*config.Evacuation) {
	if len(cfg.GetPolicy().GetEvacuations()) == 0 && len(orders) == 0 {
		return
	}
	policy := &config.Policy{}
	if cfg.Policy != nil {
		policy = proto.CloneOf(cfg.Policy)
	}
	policy.Evacuations = orders
	cfg.Policy = policy
}
