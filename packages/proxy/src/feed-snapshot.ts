/** Merges the feed replies of the agent, which contain only the parts that changed, into a complete feed. */
import type { Feed, FeedReply, HeldFeedParts, FeedRevisions } from '@reedyard/agent';

/** The last complete feed of a proxy, with the revisions of its parts. */
export type FeedSnapshot = { readonly feed: Feed; readonly revisions: FeedRevisions };

/** Builds feed requests and merges feed replies. */
export const Feeds = {
  /** The part of a feed request that says which parts the proxy has. @example Feeds.heldParts(null) // null */
  heldParts: (snapshot: FeedSnapshot | null): HeldFeedParts | null =>
    snapshot === null ? null : { life: snapshot.feed.life, revisions: snapshot.revisions },

  /**
   * Merges a reply of the agent with the snapshot that the feed request named.
   *
   * @example
   * Feeds.merge(snapshot, reply).feed.origins // from the reply if it has them, else from the snapshot
   */
  merge: (snapshot: FeedSnapshot | null, reply: FeedReply): FeedSnapshot => {
    const { revisions, ...parts } = reply;
    return { feed: { ...snapshot?.feed, ...parts } as Feed, revisions };
  },
} as const;
