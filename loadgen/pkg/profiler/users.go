package profiler

import "time"

// kahikatea looks up entrants, plans courses, checks timing cards and feeds a
// results page. Lookups wait for every shard.
func kahikatea() Profile {
	return Profile{
		Name:        "kahikatea",
		DataCentres: 3,
		Latency:     1500 * time.Microsecond,
		Client:      time.Millisecond,
		Services:    kahikateaServices(),
		Classes:     kahikateaClasses(),
	}
}

func kahikateaServices() []Service {
	return []Service{
		{
			Collection:  "entrants",
			Instances:   20,
			Searchers:   2,
			Slots:       2,
			Connections: 25,
			Setup:       6 * time.Millisecond,
		},
		{
			Collection:  "courses",
			Instances:   30,
			Searchers:   2,
			Slots:       2,
			Connections: 25,
			Setup:       6 * time.Millisecond,
		},
		{
			Collection:  "cards",
			Instances:   1,
			Searchers:   3,
			Slots:       6,
			Connections: 110,
			Setup:       time.Millisecond,
		},
		{
			Collection:  "results",
			Instances:   1,
			Searchers:   3,
			Slots:       6,
			Connections: 110,
			Setup:       time.Millisecond,
		},
	}
}

func kahikateaClasses() []Class {
	return []Class{
		{
			Name:       "lookup",
			Collection: "entrants",
			Weight:     0.5,
			Canary:     true,
			Floor:      1,
			Deadline:   time.Second,
			Limit:      20,
			Pages:      1,
			Terms:      1,
		},
		{
			Name:       "board",
			Collection: "courses",
			Weight:     0.2,
			Canary:     true,
			Floor:      1,
			Deadline:   2 * time.Second,
			Limit:      50,
			Pages:      2,
			Terms:      1,
		},
		{
			Name:       "card",
			Collection: "cards",
			Weight:     0.15,
			Floor:      1,
			Deadline:   500 * time.Millisecond,
			Limit:      10,
			Pages:      1,
			Terms:      2,
		},
		{
			Name:       "feed",
			Collection: "results",
			Weight:     0.1,
			Floor:      0.9,
			Goal:       200 * time.Millisecond,
			Deadline:   time.Second,
			Limit:      100,
			Pages:      1,
		},
		{
			Name:       "entry",
			Collection: "entrants",
			Weight:     0.05,
			Floor:      1,
			Deadline:   2 * time.Second,
			Mutation:   true,
		},
	}
}

// corrib suggests skills to speakers, browses and enables them, and shows
// developers their listings. Spoken suggestions may be partial.
func corrib() Profile {
	return Profile{
		Name:        "corrib",
		DataCentres: 3,
		Latency:     time.Millisecond,
		Client:      3 * time.Millisecond,
		Services:    corribServices(),
		Classes:     corribClasses(),
	}
}

func corribServices() []Service {
	return []Service{
		{
			Collection:  "skills",
			Instances:   20,
			Searchers:   2,
			Slots:       2,
			Connections: 25,
			Setup:       6 * time.Millisecond,
		},
		{
			Collection:  "enablements",
			Instances:   30,
			Searchers:   2,
			Slots:       2,
			Connections: 25,
			Setup:       6 * time.Millisecond,
		},
		{
			Collection:  "listings",
			Instances:   10,
			Searchers:   2,
			Slots:       2,
			Connections: 35,
			Setup:       time.Millisecond,
		},
		{
			Collection:  "reviews",
			Instances:   5,
			Searchers:   2,
			Slots:       2,
			Connections: 35,
			Setup:       time.Millisecond,
		},
	}
}

func corribClasses() []Class {
	return []Class{
		{
			Name:       "spoken",
			Collection: "skills",
			Weight:     0.45,
			Floor:      0.9,
			Goal:       80 * time.Millisecond,
			Deadline:   400 * time.Millisecond,
			Limit:      5,
			Pages:      1,
			Terms:      1,
		},
		{
			Name:       "browse",
			Collection: "skills",
			Weight:     0.2,
			Floor:      1,
			Deadline:   time.Second,
			Limit:      25,
			Pages:      3,
		},
		{
			Name:       "enabled",
			Collection: "enablements",
			Weight:     0.1,
			Floor:      1,
			Deadline:   time.Second,
			Limit:      20,
			Pages:      1,
			Terms:      1,
		},
		{
			Name:       "developer",
			Collection: "listings",
			Weight:     0.1,
			Floor:      1,
			Deadline:   2 * time.Second,
			Limit:      50,
			Pages:      1,
			Terms:      1,
		},
		{
			Name:       "review",
			Collection: "reviews",
			Weight:     0.1,
			Floor:      1,
			Deadline:   time.Second,
			Limit:      20,
			Pages:      1,
		},
		{
			Name:       "enable",
			Collection: "enablements",
			Weight:     0.05,
			Floor:      1,
			Deadline:   2 * time.Second,
			Mutation:   true,
		},
	}
}
