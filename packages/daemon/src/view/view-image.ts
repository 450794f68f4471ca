/**
 * Serialization of a view: as a snapshot in the object store, for entries that
 * start while the table service is unavailable, and as JSON between peers.
 */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import * as core from '@gullstand/core';
import type {followedView, Result, viewChange} from '@gullstand/core';

/** A followed view as JSON. */
export type ViewImage = {
	readonly revision: number;
	readonly deltaId: string;
	/** Changes that build the view from an empty one. */
	readonly changes: readonly viewChange.ViewChange[];
};

/** Why a snapshot is refused. */
export type SnapshotFault =
	/** Truncated, corrupt, or not a snapshot. */
	| 'torn'
	/** A snapshot of another fleet. */
	| 'foreign'
	/** A format that this release does not support. */
	| 'unknown-format';

type Header = {
	readonly format: number;
	readonly fleet: string;
	readonly bytes: number;
	readonly sha256: string;
};

const format = 1;

const newline = 0x0a;

/** Converts a view to its JSON form. */
export const createImage = ({
	view,
	deltaId,
}: followedView.FollowedView): ViewImage => ({
	revision: view.revision,
	deltaId,
	changes: core.viewDiff.diffViews(core.emptyView, view),
});

/** Rebuilds a view from its JSON form. */
export const restoreView = (image: ViewImage): followedView.FollowedView => {
	let view = core.emptyView;
	for (const change of image.changes) {
		view = core.viewChange.applyChange(view, change);
	}

	return {
		view: {...view, revision: image.revision},
		deltaId: image.deltaId,
	};
};

const getSha256 = (header: Omit<Header, 'sha256'>, body: Uint8Array): string =>
	createHash('sha256')
		.update(`${header.format} ${header.fleet} ${header.bytes}\n`)
		.update(body)
		.digest('hex');

/** Encodes a snapshot: a JSON header line with a checksum, then the image. */
export const encodeSnapshot = (
	followed: followedView.FollowedView,
	fleet: string,
): Uint8Array => {
	const body = Buffer.from(JSON.stringify(createImage(followed)));
	const header = {format, fleet, bytes: body.length};
	const line = JSON.stringify({...header, sha256: getSha256(header, body)});
	return Buffer.concat([Buffer.from(`${line}\n`), body]);
};

const parseHeader = (line: Uint8Array): Header | undefined => {
	try {
		const parsed = JSON.parse(Buffer.from(line).toString()) as Partial<Header>;
		const {format: parsedFormat, fleet, bytes, sha256} = parsed;
		return parsedFormat === undefined ||
			fleet === undefined ||
			bytes === undefined ||
			sha256 === undefined
			? undefined
			: {format: parsedFormat, fleet, bytes, sha256};
	} catch {
		return undefined;
	}
};

/** Decodes a snapshot; refuses one that is corrupt or of another fleet. */
export const decodeSnapshot = (
	bytes: Uint8Array,
	fleet: string,
): Result<followedView.FollowedView, SnapshotFault> => {
	const end = bytes.indexOf(newline);
	const header = end === -1 ? undefined : parseHeader(bytes.subarray(0, end));
	if (!header) {
		return core.fail('torn');
	}

	if (header.format !== format) {
		return core.fail('unknown-format');
	}

	const body = bytes.subarray(end + 1);
	const isIntact =
		body.length === header.bytes && getSha256(header, body) === header.sha256;
	if (!isIntact) {
		return core.fail('torn');
	}

	if (header.fleet !== fleet) {
		return core.fail('foreign');
	}

	const image = JSON.parse(Buffer.from(body).toString()) as ViewImage;
	return core.succeed(restoreView(image));
};
