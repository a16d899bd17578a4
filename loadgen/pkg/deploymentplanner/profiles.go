package deploymentplanner

import "time"

// kahikatea returns the profile of a user whose callers look up entrants, plan
// courses, check timing cards and feed a results page. Lookups wait for every
// shard.
func kahikatea() Profile {
	return Profile{
		Name:                   "kahikatea",
		DataCentres:            3,
		CrossDataCentreLatency: 1500 * time.Microsecond,
		CallerLatency:          time.Millisecond,
		Services:               kahikateaServices(),
		Classes:                kahikateaClasses(),
	}
}

func kahikateaServices() []Service {
	return []Service{
		{
			Collection:         "entrants",
			Instances:          20,
			TargetsPerInstance: 2,
			Slots:              2,
			Connections:        25,
			SetupTime:          6 * time.Millisecond,
		},
		{
			Collection:         "courses",
			Instances:          30,
			TargetsPerInstance: 2,
			Slots:              2,
			Connections:        25,
			SetupTime:          6 * time.Millisecond,
		},
		{
			Collection:         "cards",
			Instances:          1,
			TargetsPerInstance: 3,
			Slots:              6,
			Connections:        110,
			SetupTime:          time.Millisecond,
		},
		{
			Collection:         "results",
			Instances:          1,
			TargetsPerInstance: 3,
			Slots:              6,
			Connections:        110,
			SetupTime:          time.Millisecond,
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
			PageSize:   20,
			PageCount:  1,
			TermCount:  1,
		},
		{
			Name:       "board",
			Collection: "courses",
			Weight:     0.2,
			Canary:     true,
			Floor:      1,
			Deadline:   2 * time.Second,
			PageSize:   50,
			PageCount:  2,
			TermCount:  1,
		},
		{
			Name:       "card",
			Collection: "cards",
			Weight:     0.15,
			Floor:      1,
			Deadline:   500 * time.Millisecond,
			PageSize:   10,
			PageCount:  1,
			TermCount:  2,
		},
		{
			Name:       "feed",
			Collection: "results",
			Weight:     0.1,
			Floor:      0.9,
			Goal:       200 * time.Millisecond,
			Deadline:   time.Second,
			PageSize:   100,
			PageCount:  1,
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

// corrib returns the profile of a user whose callers suggest skills for spoken
// requests, browse and enable skills, and show developers their listings. Spoken
// suggestions may be partial.
func corrib() Profile {
	return Profile{
		Name:                   "corrib",
		DataCentres:            3,
		CrossDataCentreLatency: time.Millisecond,
		CallerLatency:          3 * time.Millisecond,
		Services:               corribServices(),
		Classes:                corribClasses(),
	}
}

func corribServices() []Service {
	return []Service{
		{
			Collection:         "skills",
			Instances:          20,
			TargetsPerInstance: 2,
			Slots:              2,
			Connections:        25,
			SetupTime:          6 * time.Millisecond,
		},
		{
			Collection:         "enablements",
			Instances:          30,
			TargetsPerInstance: 2,
			Slots:              2,
			Connections:        25,
			SetupTime:          6 * time.Millisecond,
		},
		{
			Collection:         "listings",
			Instances:          10,
			TargetsPerInstance: 2,
			Slots:              2,
			Connections:        35,
			SetupTime:          time.Millisecond,
		},
		{
			Collection:         "reviews",
			Instances:          5,
			TargetsPerInstance: 2,
			Slots:              2,
			Connections:        35,
			SetupTime:          time.Millisecond,
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
			PageSize:   5,
			PageCount:  1,
			TermCount:  1,
		},
		{
			Name:       "browse",
			Collection: "skills",
			Weight:     0.2,
			Floor:      1,
			Deadline:   time.Second,
			PageSize:   25,
			PageCount:  3,
		},
		{
			Name:       "enabled",
			Collection: "enablements",
			Weight:     0.1,
			Floor:      1,
			Deadline:   time.Second,
			PageSize:   20,
			PageCount:  1,
			TermCount:  1,
		},
		{
			Name:       "developer",
			Collection: "listings",
			Weight:     0.1,
			Floor:      1,
			Deadline:   2 * time.Second,
			PageSize:   50,
			PageCount:  1,
			TermCount:  1,
		},
		{
			Name:       "review",
			Collection: "reviews",
			Weight:     0.1,
			Floor:      1,
			Deadline:   time.Second,
			PageSize:   20,
			PageCount:  1,
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
