package edge

import (
	"time"

	"heatherford/core/fleet"
	"heatherford/core/quarantine"
	"heatherford/core/registry"
)

const (
	// announcements is how often a change of the operator records is told beyond the
	// relay hosts, and announcementInterval is the interval. The first announcement may be
	// lost or late.
	announcements        = 3
	announcementInterval = 250 * time.Millisecond
	// maxAnnouncedRoutes is the most routes of a declaration that the first announcement
	// holds, at some 300 bytes each.
	maxAnnouncedRoutes = 64
)

// announceChange tells the own zone of a change at once. In a large zone only the
// relay host and a reader send to all hosts, since each host that learns of the
// change tells others.
func (c *control) announceChange(now time.Time) {
	if c.isRelay() || c.isReader() {
		c.sendFullZoneHeartbeat(now)
		return
	}
	c.sendZoneHeartbeat(now)
}

// announceDeclaration tells hosts of all zones of a change of the operator records that this
// host has read. The relay hosts of a zone may be slow, so others hear of it too. The first
// announcement holds the declaration, since hosts that are slow fetch slowly.
func (c *control) announceDeclaration(now time.Time) {
	c.announcementsLeft = announcements
	c.announce(maxAnnouncedRoutes, now)
}

// mayAnnounce reports whether this host announces what it reads. A slow one does so only as
// the first in the order: when it has read, others have too.
func (c *control) mayAnnounce(now time.Time) bool {
	return !c.isSlow(now) || fleet.Position(c.live, c.fleet.Self().Name) == 0
}

// repeatAnnouncement sends the next announcement when it is due.
func (c *control) repeatAnnouncement(now time.Time) {
	if c.announcementsLeft > 0 && !now.Before(c.nextAnnouncement) {
		c.announce(maxChangesRoutes, now)
	}
}

// announce sends an announcement with the latest changes of the operator records, and
// declarations of up to a number of routes.
func (c *control) announce(routes int, now time.Time) {
	c.announcementsLeft--
	c.nextAnnouncement = now.Add(announcementInterval)
	t := c.newHeartbeat(quarantine.ToOthers, now)
	t.Changes = c.recentChanges.ofPart(registry.OperatorRecords, c.registry, changesAge, routes, now)
	c.edge.options.Transport.SendHeartbeat(c.fleet.AnnouncementTargets(c.live, c.announcementRound, now), t)
	c.announcementRound++
}
