/** Single-decree registers on a majority of acceptors, as pure state machines without I/O. */
export { accept, prepare, type Vote, type VoteOutcome } from './acceptor.js';
export {
  decodeAcceptedValue,
  decodeProposalNumber,
  decodeRegister,
  decodeVote,
  encodeAcceptedValue,
  encodeProposalNumber,
  encodeRegister,
  encodeVote,
  type WireAcceptedValue,
  type WireProposalNumber,
  type WireRegister,
  type WireVote,
} from './codec.js';
export {
  compareProposalNumbers,
  formatProposalNumber,
  higherProposalNumber,
  nextProposalNumber,
  zeroProposalNumber,
  type ProposalNumber,
} from './proposal-number.js';
export {
  handleVote,
  startProposal,
  type Change,
  type ChangeResult,
  type MemberName,
  type Proposal,
  type ProposalTransition,
  type ProposerAction,
  type ReceivedVote,
} from './proposer.js';
export { majorityOf } from './quorum.js';
export {
  copyRegister,
  emptyRegister,
  mergeRegisters,
  type AcceptedValue,
  type RegisterState,
} from './register.js';
