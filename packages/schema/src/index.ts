/**
 * Messages and services generated from the schema files.
 */

export * from './generated/flamingorouter/common/v1/common_pb.js'
export * from './generated/flamingorouter/callers/v1/callers_pb.js'
export * from './generated/flamingorouter/operators/v1/operators_pb.js'
export * from './generated/flamingorouter/targets/v1/targets_pb.js'
export * from './generated/flamingorouter/platform/v1/platform_pb.js'
