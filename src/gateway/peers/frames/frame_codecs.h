#pragma once

#include "gateway/peers/frames/frame_fields.h"

/// Codecs of all frames: `pack` packs a frame with its kind, `read` reads the fields that follow
/// the kind.
namespace orchidlead::gateway {

// Pieces, their results, and pings of their hosts.
void pack(packer &out, const submit_piece_frame &frame);
void read(field_reader &in, submit_piece_frame &frame);
void pack(packer &out, const cancel_piece_frame &frame);
void read(field_reader &in, cancel_piece_frame &frame);
void pack(packer &out, const piece_outcome_frame &frame);
void read(field_reader &in, piece_outcome_frame &frame);
void pack(packer &out, const free_results_frame &frame);
void read(field_reader &in, free_results_frame &frame);
void pack(packer &out, const ping_frame &frame);
void read(field_reader &in, ping_frame &frame);
void pack(packer &out, const pong_frame &frame);
void read(field_reader &in, pong_frame &frame);

// Placement of requests on engines.
void pack(packer &out, const place_frame &frame);
void read(field_reader &in, place_frame &frame);
void pack(packer &out, const placed_frame &frame);
void read(field_reader &in, placed_frame &frame);
void pack(packer &out, const placement_progress_frame &frame);
void read(field_reader &in, placement_progress_frame &frame);
void pack(packer &out, const admission_request &frame);
void read(field_reader &in, admission_request &frame);
void pack(packer &out, const admission_answer &frame);
void read(field_reader &in, admission_answer &frame);
void pack(packer &out, const board_state_frame &frame);
void read(field_reader &in, board_state_frame &frame);

// Admission of requests to stage pools.
void pack(packer &out, const reserve_stage_frame &frame);
void read(field_reader &in, reserve_stage_frame &frame);
void pack(packer &out, const stage_reserved_frame &frame);
void read(field_reader &in, stage_reserved_frame &frame);
void pack(packer &out, const release_reservation_frame &frame);
void read(field_reader &in, release_reservation_frame &frame);

// Load of stage pools.
void pack(packer &out, const pool_load_frame &frame);
void read(field_reader &in, pool_load_frame &frame);

// Published state and configurations.
void pack(packer &out, const publication_request &frame);
void read(field_reader &in, publication_request &frame);
void pack(packer &out, const publication_frame &frame);
void read(field_reader &in, publication_frame &frame);
void pack(packer &out, const follow_frame &frame);
void read(field_reader &in, follow_frame &frame);
void pack(packer &out, const list_digest_frame &frame);
void read(field_reader &in, list_digest_frame &frame);
void pack(packer &out, const configuration_request &frame);
void read(field_reader &in, configuration_request &frame);
void pack(packer &out, const configuration_frame &frame);
void read(field_reader &in, configuration_frame &frame);

// What servers reported, and data centres that can't be reached.
void pack(packer &out, const rate_limits_frame &frame);
void read(field_reader &in, rate_limits_frame &frame);
void pack(packer &out, const leaving_servers_frame &frame);
void read(field_reader &in, leaving_servers_frame &frame);
void pack(packer &out, const brittle_servers_frame &frame);
void read(field_reader &in, brittle_servers_frame &frame);
void pack(packer &out, const lost_data_center_frame &frame);
void read(field_reader &in, lost_data_center_frame &frame);

// Quarantine of requests.
void pack(packer &out, const server_crashes_frame &frame);
void read(field_reader &in, server_crashes_frame &frame);
void pack(packer &out, const quarantine_frame &frame);
void read(field_reader &in, quarantine_frame &frame);
void pack(packer &out, const trial_request &frame);
void read(field_reader &in, trial_request &frame);
void pack(packer &out, const trial_answer &frame);
void read(field_reader &in, trial_answer &frame);
void pack(packer &out, const trial_end &frame);
void read(field_reader &in, trial_end &frame);

// Origins of streams.
void pack(packer &out, const stream_origin_frame &frame);
void read(field_reader &in, stream_origin_frame &frame);
void pack(packer &out, const stream_origin_query &frame);
void read(field_reader &in, stream_origin_query &frame);
void pack(packer &out, const stream_origin_answer &frame);
void read(field_reader &in, stream_origin_answer &frame);

/// Reads an optional limit of requests per second. Rejects limits that are negative or not finite:
/// they would make the receiver's request rate NaN.
[[nodiscard]] std::optional<double> readLimit(field_reader &in);

} // namespace orchidlead::gateway
