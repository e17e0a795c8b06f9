#pragma once

namespace sassafras_slopes {

/// Measures a group view's update with the gate's step against the answers that wait at the gate.
void measure_gate();

/// Measures one request's way through the queue of a group against the requests that are queued.
void measure_queue();

/// Measures the choice of one group's home against the members of its region.
void measure_owner_choice();

/// Measures what a change of the members costs a daemon against the services, with 700 members in the region.
void measure_owner_table();

/// Measures size, encoding and decoding of a configuration against its services.
void measure_configuration();

} // namespace sassafras_slopes
