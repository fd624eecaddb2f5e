package wire

// Overview is how a node and, if it leads, the cluster stand. It is ours: the
// words are the field's, and no deployment depends on them.
type Overview struct {
	Node         string        `json:"node"`
	Healthy      bool          `json:"healthy"`
	Leading      bool          `json:"leading"`
	Leader       string        `json:"leader,omitempty"` // as far as the node knows
	Token        uint64        `json:"token,omitempty"`
	LedS         float64       `json:"led_s,omitempty"`
	StateSilentS float64       `json:"state_silent_s"` // since the state service's last answer
	Door         *DoorView     `json:"door,omitempty"`
	Machines     *MachinesView `json:"machines,omitempty"`
	Jobs         *JobsView     `json:"jobs,omitempty"`
	Teams        []TeamView    `json:"teams,omitempty"`
	Classes      []ClassView   `json:"classes,omitempty"` // with unfinished jobs, the most tasks first
	Queue        []JobView     `json:"queue,omitempty"`   // jobs with waiting tasks, oldest first
}

// DoorView is what a node takes in; rates are by second.
type DoorView struct {
	Changes  float64 `json:"changes"` // of the state service it may make
	Wanted   float64 `json:"wanted"`  // submissions that come
	Admitted float64 `json:"admitted"`
	Waiting  int     `json:"waiting"` // at the door
	Refused  int     `json:"refused"` // since the process began
	// Only the leader knows: the part of the limit that is handed out, how many seconds
	// of its changes wait to be written, and the classes of which nothing is taken.
	Ease    float64  `json:"ease,omitempty"`
	BehindS float64  `json:"behind_s"`
	Shut    []string `json:"shut,omitempty"`
}

// ClassView is a class of a team: its unfinished jobs, those of them within its floor,
// and its tasks.
type ClassView struct {
	Class   string `json:"class"`
	Team    string `json:"team"`
	Jobs    int    `json:"jobs"`
	Floor   int    `json:"floor"`
	Waiting int    `json:"waiting_tasks"`
	Placed  int    `json:"placed_tasks"`
}

// MachinesView counts machines; the figures with a fraction are whole machines'
// worth of what tasks take.
type MachinesView struct {
	Total    int     `json:"total"`
	Spot     int     `json:"spot"`
	Booting  int     `json:"booting"`
	Idle     int     `json:"idle"`
	Silent   int     `json:"silent"`
	Leaving  int     `json:"leaving"`
	Running  float64 `json:"running"`
	Fetching float64 `json:"fetching"`
	Waiting  float64 `json:"waiting"`
	Saving   float64 `json:"saving"`
	Room     float64 `json:"room"`
}

// JobsView counts jobs.
type JobsView struct {
	Open         int `json:"open"`
	Waiting      int `json:"waiting"`
	WaitingTasks int `json:"waiting_tasks"`
	AtFault      int `json:"at_fault"`
}

// TeamView is a team's use; 0 as guarantee or limit means none.
type TeamView struct {
	Name           string  `json:"name"`
	CPUs           float64 `json:"cpus"`
	GPUs           float64 `json:"gpus"`
	GuaranteedCPUs float64 `json:"guaranteed_cpus"`
	GuaranteedGPUs float64 `json:"guaranteed_gpus"`
	MostCPUs       float64 `json:"most_cpus"`
	MostGPUs       float64 `json:"most_gpus"`
}

// JobView is a job that waits.
type JobView struct {
	Job    string  `json:"job"`
	Class  string  `json:"class"`
	Team   string  `json:"team"`
	Tasks  int     `json:"tasks"`
	Done   int     `json:"done"`
	Placed int     `json:"placed"`
	AgeS   float64 `json:"age_s"`
	Why    string  `json:"why,omitempty"`  // it waits
	Last   string  `json:"last,omitempty"` // why a task of it stopped last
}
