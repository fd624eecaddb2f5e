package wire

// Overview is the state of a node and, if the node is the leader, of the cluster. It is
// not part of the protocol that deployments depend on.
type Overview struct {
	Node         string         `json:"node"`
	Healthy      bool           `json:"healthy"`
	Leading      bool           `json:"leading"`
	Leader       string         `json:"leader,omitempty"` // the leader that the node knows of
	Token        uint64         `json:"token,omitempty"`
	LedS         float64        `json:"led_s,omitempty"`
	StateSilentS float64        `json:"state_silent_s"` // time since the state service's last answer
	Admission    *AdmissionView `json:"door,omitempty"`
	Machines     *MachinesView  `json:"machines,omitempty"`
	Jobs         *JobsView      `json:"jobs,omitempty"`
	Teams        []TeamView     `json:"teams,omitempty"`
	Classes      []ClassView    `json:"classes,omitempty"` // classes with unfinished jobs, ordered by tasks, most first
	Queue        []JobView      `json:"queue,omitempty"`   // jobs with waiting tasks, oldest first
}

// AdmissionView is the state of a node's admission of submissions. Rates are per second.
type AdmissionView struct {
	Changes  float64 `json:"changes"` // rate of changes the node may make in the state service
	Wanted   float64 `json:"wanted"`  // rate of incoming submissions
	Admitted float64 `json:"admitted"`
	Waiting  int     `json:"waiting"` // submissions that wait for admission
	Refused  int     `json:"refused"` // submissions refused since the process started
	// Only the leader sets the following fields. AdmitFraction is the factor, at most 1, to
	// which it reduces admission while its writes are behind. WriteBacklogS is how many seconds
	// its pending writes take. BlockedClasses lists the classes whose submissions are refused.
	AdmitFraction  float64  `json:"ease,omitempty"`
	WriteBacklogS  float64  `json:"behind_s"`
	BlockedClasses []string `json:"shut,omitempty"`
}

// ClassView counts the unfinished jobs and the tasks of a class of a team.
// WithinMinShare counts the jobs within the minimum share of the class, called its floor in
// messages and settings.
type ClassView struct {
	Class          string `json:"class"`
	Team           string `json:"team"`
	Jobs           int    `json:"jobs"`
	WithinMinShare int    `json:"floor"`
	Waiting        int    `json:"waiting_tasks"`
	Placed         int    `json:"placed_tasks"`
}

// MachinesView counts machines. Running, Fetching, Waiting and Saving add up the fractions of
// machines that tasks in that phase use. Room adds up the free fractions of machines with
// tasks.
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

// TeamView is a team's resource usage. A guarantee or limit of 0 means that there is none.
type TeamView struct {
	Name           string  `json:"name"`
	CPUs           float64 `json:"cpus"`
	GPUs           float64 `json:"gpus"`
	GuaranteedCPUs float64 `json:"guaranteed_cpus"`
	GuaranteedGPUs float64 `json:"guaranteed_gpus"`
	MaxCPUs        float64 `json:"most_cpus"`
	MaxGPUs        float64 `json:"most_gpus"`
}

// JobView is a job with waiting tasks.
type JobView struct {
	Job            string  `json:"job"`
	Class          string  `json:"class"`
	Team           string  `json:"team"`
	Tasks          int     `json:"tasks"`
	Done           int     `json:"done"`
	Placed         int     `json:"placed"`
	AgeS           float64 `json:"age_s"`
	Why            string  `json:"why,omitempty"`  // why the job waits
	LastStopReason string  `json:"last,omitempty"` // why one of its tasks last stopped
}
